//! The change feed of a control machine: events appended to a journal in memory, read from an offset by balancers.

use crate::command::Command;
use crate::registry::Registration;
use nanoserde::{DeBin, SerBin};
use std::collections::VecDeque;

/// Something that balancers must hear of.
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

/// Bytes of events that are kept for readers that come back; one that is further behind gets a snapshot.
const KEPT_BYTES: usize = 2 << 20;

/// The journal.
#[derive(Debug)]
pub struct Journal {
    /// Tells this journal from one of an earlier process at the same address.
    epoch: u64,
    first: u64,
    events: VecDeque<(usize, FeedEvent)>,
    bytes: usize,
}

impl Journal {
    /// An empty journal. The epoch must differ from that of any earlier process of the machine.
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            first: 0,
            events: VecDeque::new(),
            bytes: 0,
        }
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The offset behind the last event.
    pub fn end(&self) -> u64 {
        self.first + self.events.len() as u64
    }

    /// Appends an event.
    pub fn append(&mut self, event: FeedEvent) {
        let size = match &event {
            FeedEvent::Committed {
                command: Command::Put { body, .. } | Command::Patch { body, .. },
                ..
            } => body.len(),
            _ => 0,
        };
        const HEAD: usize = 200;
        self.bytes += size + HEAD;
        self.events.push_back((size + HEAD, event));
        while self.bytes > KEPT_BYTES && self.events.len() > 1 {
            if let Some((size, _)) = self.events.pop_front() {
                self.bytes -= size;
                self.first += 1;
            }
        }
    }

    /// Forgets all events: a reader from any offset so far needs a snapshot.
    pub fn restart(&mut self) {
        self.first = self.end() + 1;
        self.events.clear();
        self.bytes = 0;
    }

    /// The events from an offset of an epoch on; `None` where they are not kept, so that a snapshot is needed.
    pub fn tail(&self, epoch: u64, offset: u64) -> Option<Vec<FeedEvent>> {
        let skipped = offset
            .checked_sub(self.first)
            .filter(|_| epoch == self.epoch)?;
        let skipped = usize::try_from(skipped)
            .ok()
            .filter(|skipped| *skipped <= self.events.len())?;
        Some(
            self.events
                .iter()
                .skip(skipped)
                .map(|(_, event)| event.clone())
                .collect(),
        )
    }
}
