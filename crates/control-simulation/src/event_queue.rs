//! A queue of scheduled events, ordered by time. Events of the same time keep the order in which
//! they were scheduled.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A scheduled event with its time.
#[derive(Debug)]
struct Entry<E> {
    at_ms: u64,
    /// Number of the event in the order of scheduling, which orders events of the same time.
    sequence: u64,
    event: E,
}

impl<E> Entry<E> {
    fn position(&self) -> (u64, u64) {
        (self.at_ms, self.sequence)
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.position() == other.position()
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.position().cmp(&other.position())
    }
}

/// The scheduled events of a simulation.
#[derive(Debug)]
pub struct EventQueue<E> {
    entries: BinaryHeap<Reverse<Entry<E>>>,
    scheduled_count: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            entries: BinaryHeap::new(),
            scheduled_count: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at a virtual time, in milliseconds.
    pub fn schedule(&mut self, at_ms: u64, event: E) {
        self.scheduled_count += 1;
        self.entries.push(Reverse(Entry {
            at_ms,
            sequence: self.scheduled_count,
            event,
        }));
    }

    /// Removes and returns the next event with its time, if it is due by `until_ms`.
    pub fn pop_until(&mut self, until_ms: u64) -> Option<(u64, E)> {
        let Reverse(next) = self.entries.peek()?;
        if next.at_ms > until_ms {
            return None;
        }
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.at_ms, entry.event))
    }

    /// Number of events that have been scheduled, including those already handled.
    pub fn scheduled_count(&self) -> u64 {
        self.scheduled_count
    }
}
