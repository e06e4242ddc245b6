//! What the engine wants of a call, queued for the call's own task.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use woadstall_engine::{CallResult, SendAttempt};

/// What a call is to do.
#[derive(Debug)]
pub(crate) enum CallCommand {
    /// Make an attempt.
    SendAttempt(SendAttempt),
    /// Cancel the attempt of a number.
    CancelAttempt(u32),
    /// Return the result. The response itself is with the call, whose own attempt received it.
    Respond(CallResult<()>),
}

/// The commands for one call.
#[derive(Debug, Default)]
pub(crate) struct CommandQueue(Mutex<Queue>);

#[derive(Debug, Default)]
struct Queue {
    commands: VecDeque<CallCommand>,
    waker: Option<Waker>,
}

impl CommandQueue {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn push(&self, command: CallCommand) {
        let mut queue = self.lock();
        queue.commands.push_back(command);
        let waker = queue.waker.take();
        drop(queue);
        waker.into_iter().for_each(Waker::wake);
    }

    pub fn poll_next(&self, cx: &mut Context<'_>) -> Poll<CallCommand> {
        let mut queue = self.lock();
        if let Some(command) = queue.commands.pop_front() {
            return Poll::Ready(command);
        }
        if !queue
            .waker
            .as_ref()
            .is_some_and(|waker| waker.will_wake(cx.waker()))
        {
            queue.waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    /// All commands that were not taken.
    pub fn take_all(&self) -> VecDeque<CallCommand> {
        std::mem::take(&mut self.lock().commands)
    }
}
