//! The change feed of a control machine: an in-memory journal of events, which balancers read from
//! an offset.

use crate::command::Command;
use crate::registry::Registration;
use nanoserde::{DeBin, SerBin};
use std::collections::VecDeque;

/// A change to be sent to balancers.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum FeedEvent {
    /// A command was committed to the configuration log.
    Committed {
        /// The log index of the command.
        index: u64,
        /// The committed command.
        command: Command,
    },
    /// An upstream's registration has changed. The variant holds the new registration.
    Registered(Registration),
}

/// The maximum total size in bytes of the events that are retained for balancers that reconnect. A
/// balancer that is further behind receives a snapshot.
const RETAINED_BYTES: usize = 2 << 20;
/// The size in bytes assumed for an event without the body of its command.
const EVENT_OVERHEAD_BYTES: usize = 200;

impl FeedEvent {
    /// Returns the approximate size of the event in bytes, for the retention limit.
    fn size_bytes(&self) -> usize {
        let body = match self {
            Self::Committed {
                command: Command::Put { body, .. } | Command::Patch { body, .. },
                ..
            } => body.len(),
            _ => 0,
        };
        body + EVENT_OVERHEAD_BYTES
    }
}

/// A journal of events with consecutive offsets.
#[derive(Debug)]
pub struct EventJournal {
    /// A number that distinguishes this journal from the journals of earlier processes at the same
    /// address.
    epoch: u64,
    /// The offset of the oldest retained event.
    first_offset: u64,
    events: VecDeque<FeedEvent>,
    /// The total size of the retained events in bytes.
    retained_bytes: usize,
}

impl EventJournal {
    /// Creates an empty journal. The epoch must differ from the epochs of all earlier processes of
    /// the machine.
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            first_offset: 0,
            events: VecDeque::new(),
            retained_bytes: 0,
        }
    }

    /// Returns the epoch, which distinguishes this journal from those of earlier processes.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the offset after the last event.
    pub fn end_offset(&self) -> u64 {
        self.first_offset + self.events.len() as u64
    }

    /// Appends an event, and drops the oldest events in excess of the retention limit. The newest
    /// event is always retained.
    pub fn append(&mut self, event: FeedEvent) {
        self.retained_bytes += event.size_bytes();
        self.events.push_back(event);
        while self.retained_bytes > RETAINED_BYTES && self.events.len() > 1 {
            if let Some(dropped) = self.events.pop_front() {
                self.retained_bytes -= dropped.size_bytes();
                self.first_offset += 1;
            }
        }
    }

    /// Drops all events and invalidates all current offsets. A balancer that resumes from one of
    /// them needs a snapshot.
    pub fn reset(&mut self) {
        self.first_offset = self.end_offset() + 1;
        self.events.clear();
        self.retained_bytes = 0;
    }

    /// Returns the events from an offset of an epoch on. The result is `None` if the epoch differs
    /// or the events are not retained, in which case the balancer needs a snapshot.
    pub fn events_since(&self, epoch: u64, offset: u64) -> Option<Vec<FeedEvent>> {
        let skipped = offset
            .checked_sub(self.first_offset)
            .filter(|_| epoch == self.epoch)?;
        let skipped = usize::try_from(skipped)
            .ok()
            .filter(|skipped| *skipped <= self.events.len())?;
        Some(self.events.iter().skip(skipped).cloned().collect())
    }
}
