//! What the engine wants of a call, left for the call's own task.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use woadstall_engine::{CallResult, SendAttempt};

/// What a call is to do.
#[derive(Debug)]
pub(crate) enum Order {
    Send(SendAttempt),
    Withdraw(u32),
    /// The answer itself is with the call, whose own attempt brought it.
    Answer(CallResult<()>),
}

#[derive(Debug, Default)]
pub(crate) struct Slot(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    orders: VecDeque<Order>,
    waiting: Option<Waker>,
}

impl Slot {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn push(&self, order: Order) {
        let mut inner = self.lock();
        inner.orders.push_back(order);
        let waiting = inner.waiting.take();
        drop(inner);
        waiting.into_iter().for_each(Waker::wake);
    }

    pub fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Order> {
        let mut inner = self.lock();
        if let Some(order) = inner.orders.pop_front() {
            return Poll::Ready(order);
        }
        if !inner
            .waiting
            .as_ref()
            .is_some_and(|waiting| waiting.will_wake(cx.waker()))
        {
            inner.waiting = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    /// All orders that were not taken.
    pub fn take_all(&self) -> VecDeque<Order> {
        std::mem::take(&mut self.lock().orders)
    }
}
