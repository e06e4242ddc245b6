//! Timers of the decision module, and what is due at a tick.

use super::Engine;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use woadstall_decisions::api::{Event, Time};

/// The module's timers, by when they are due.
#[derive(Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Time, u64)>>,
}

impl Timers {
    /// Sets a timer; the module gets back its token.
    pub fn set(&mut self, due: Time, token: u64) {
        self.heap.push(Reverse((due, token)));
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes the next timer that is due by now, and returns its token.
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
