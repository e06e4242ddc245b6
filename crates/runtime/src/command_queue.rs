//! Queues of engine commands, each read by the task of one call.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use woadstall_engine::{CallResult, SendAttempt};

/// A command from the engine to one call.
#[derive(Debug)]
pub(crate) enum CallCommand {
    /// Starts an attempt.
    SendAttempt(SendAttempt),
    /// Cancels the attempt with this number.
    CancelAttempt(u32),
    /// Returns the result to the caller. The call's task already holds the response, so the command carries none.
    Respond(CallResult<()>),
}

/// The pending commands of one call.
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

    /// Removes and returns all commands that have not been polled.
    pub fn take_all(&self) -> VecDeque<CallCommand> {
        std::mem::take(&mut self.lock().commands)
    }
}
