//! The change feed of a control machine: events appended to a journal in memory, which balancers
//! read from an offset on.

use crate::command::Command;
use crate::registry::Registration;
use nanoserde::{DeBin, SerBin};
use std::collections::VecDeque;

/// A change that balancers must hear of.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum FeedEvent {
    /// A command was committed at a position of the configuration's log.
    Committed {
        /// The position.
        index: u64,
        /// The command.
        command: Command,
    },
    /// An upstream's registration has changed.
    Registered(Registration),
}

/// Bytes of events that are retained for balancers that reconnect; one that is further behind gets
/// a snapshot.
const RETAINED_BYTES: usize = 2 << 20;
/// What an event counts for beside the body of its command, in bytes.
const EVENT_OVERHEAD_BYTES: usize = 200;

impl FeedEvent {
    /// What the event counts for, in bytes.
    fn size(&self) -> usize {
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

/// The journal of events, each at an offset that rises by 1.
#[derive(Debug)]
pub struct EventJournal {
    /// Distinguishes this journal from one of an earlier process at the same address.
    epoch: u64,
    /// The offset of the oldest event that is retained.
    first_offset: u64,
    events: VecDeque<FeedEvent>,
    /// The sum of the events' sizes.
    bytes: usize,
}

impl EventJournal {
    /// An empty journal. The epoch must differ from that of any earlier process of the machine.
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            first_offset: 0,
            events: VecDeque::new(),
            bytes: 0,
        }
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The offset behind the last event.
    pub fn end_offset(&self) -> u64 {
        self.first_offset + self.events.len() as u64
    }

    /// Appends an event, and drops the oldest ones beyond the bytes that are retained.
    pub fn append(&mut self, event: FeedEvent) {
        self.bytes += event.size();
        self.events.push_back(event);
        while self.bytes > RETAINED_BYTES && self.events.len() > 1 {
            if let Some(dropped) = self.events.pop_front() {
                self.bytes -= dropped.size();
                self.first_offset += 1;
            }
        }
    }

    /// Drops all events: a balancer that goes on from any offset so far needs a snapshot.
    pub fn reset(&mut self) {
        self.first_offset = self.end_offset() + 1;
        self.events.clear();
        self.bytes = 0;
    }

    /// The events from an offset of an epoch on; `None` where they are not retained, so that a
    /// snapshot is needed.
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
