//! Sequences of numbers.

use crate::outcome::Outcome;
use std::collections::BTreeMap;

/// Bytes that a sequence takes beside its name.
const SEQUENCE_BYTES: usize = 16;

/// The last number of each sequence.
#[derive(Clone, Debug, Default)]
pub(super) struct SequenceTable {
    last: BTreeMap<String, u64>,
    bytes: usize,
}

impl SequenceTable {
    pub fn len(&self) -> usize {
        self.last.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, u64)> {
        self.last.iter().map(|(name, last)| (name, *last))
    }

    /// The next number of a sequence; the first one is 1. `has_room` tells whether the state may
    /// grow.
    pub fn next(&mut self, sequence: String, has_room: bool) -> Outcome {
        let last = self.last.get(&sequence).copied();
        if last.is_none() && !has_room {
            return Outcome::LimitReached;
        }
        let value = last.unwrap_or_default() + 1;
        self.set(sequence, value);
        Outcome::Number { value }
    }

    /// Sets the last number of a sequence.
    pub fn set(&mut self, sequence: String, value: u64) {
        let size = SEQUENCE_BYTES + sequence.len();
        if self.last.insert(sequence, value).is_none() {
            self.bytes += size;
        }
    }
}
