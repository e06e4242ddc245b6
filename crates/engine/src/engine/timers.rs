//! Timers of the decision module, and the processing of due timers and overdue calls.

use super::Engine;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use woadstall_decisions::api::{Event, Time};

/// Timers of the decision module, ordered by due time.
#[derive(Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Time, u64)>>,
}

impl Timers {
    /// Sets a timer. The decision module receives `token` when the timer is due.
    pub fn set(&mut self, due: Time, token: u64) {
        self.heap.push(Reverse((due, token)));
    }

    /// Returns the due time of the next timer.
    pub fn next_due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes the next timer if it is due at `now`, and returns its token.
    fn pop_due(&mut self, now: Time) -> Option<u64> {
        self.next_due().filter(|due| *due <= now)?;
        self.heap.pop().map(|Reverse((_, token))| token)
    }
}

impl<R, A> Engine<R, A> {
    pub(super) fn on_tick(&mut self) {
        while let Some(token) = self.timers.pop_due(self.now) {
            self.notify(Event::Timer(token));
        }
        while let Some(id) = self.calls.overdue(self.now) {
            self.log(format!("request_overdue request={}", id.0));
            self.fail(id);
            self.notify(Event::ClientDisconnected(id));
        }
    }
}
