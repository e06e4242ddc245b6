//! The events to come, by time; those of the same time in the order in which they were scheduled.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

#[derive(Debug)]
struct Entry<E> {
    at_ms: u64,
    /// Makes the order of events of the same time that of their scheduling.
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

/// The events to come.
#[derive(Debug)]
pub struct EventQueue<E> {
    entries: BinaryHeap<Reverse<Entry<E>>>,
    scheduled: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            entries: BinaryHeap::new(),
            scheduled: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at a time in milliseconds.
    pub fn schedule(&mut self, at_ms: u64, event: E) {
        self.scheduled += 1;
        self.entries.push(Reverse(Entry {
            at_ms,
            sequence: self.scheduled,
            event,
        }));
    }

    /// Takes the next event with its time, if that is no later than `until_ms`.
    pub fn pop_until(&mut self, until_ms: u64) -> Option<(u64, E)> {
        let Reverse(next) = self.entries.peek()?;
        if next.at_ms > until_ms {
            return None;
        }
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.at_ms, entry.event))
    }

    /// The number of events that were scheduled so far.
    pub fn scheduled(&self) -> u64 {
        self.scheduled
    }
}
