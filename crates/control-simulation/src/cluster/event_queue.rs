//! The events to come, by time; those of the same time in the order in which they were scheduled.

use crate::NodeIndex;
use crate::network::{Link, PacketId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ScheduledEvent {
    /// A packet arrives.
    Delivery {
        link: Link,
        packet: PacketId,
        /// The incarnation that it is for; `None` for one of a former connection, which any process
        /// accepts.
        incarnation: Option<u64>,
    },
    /// A disk syncs a write of an incarnation.
    Sync { node: NodeIndex, incarnation: u64 },
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    at_ms: u64,
    /// Makes the order of events of the same time that of their scheduling.
    sequence: u64,
    event: ScheduledEvent,
}

/// The events to come.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    entries: BinaryHeap<Reverse<Entry>>,
    scheduled: u64,
}

impl EventQueue {
    /// Schedules an event at a time in milliseconds.
    pub(super) fn schedule(&mut self, at_ms: u64, event: ScheduledEvent) {
        self.scheduled += 1;
        self.entries.push(Reverse(Entry {
            at_ms,
            sequence: self.scheduled,
            event,
        }));
    }

    /// Takes the next event with its time, if that is no later than `until_ms`.
    pub(super) fn pop_until(&mut self, until_ms: u64) -> Option<(u64, ScheduledEvent)> {
        let Reverse(next) = self.entries.peek()?;
        if next.at_ms > until_ms {
            return None;
        }
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.at_ms, entry.event))
    }

    /// The number of events that were scheduled so far.
    pub(super) fn scheduled(&self) -> u64 {
        self.scheduled
    }
}
