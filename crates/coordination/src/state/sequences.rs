//! Sequences of increasing numbers.

use crate::outcome::Outcome;
use std::collections::BTreeMap;

/// The overhead of a sequence beyond its name, in bytes.
const SEQUENCE_BYTES: usize = 16;

/// The last allocated number of each sequence.
#[derive(Clone, Debug, Default)]
pub(super) struct SequenceTable {
    last_numbers: BTreeMap<String, u64>,
    bytes: usize,
}

impl SequenceTable {
    pub fn len(&self) -> usize {
        self.last_numbers.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, u64)> {
        self.last_numbers.iter().map(|(name, last)| (name, *last))
    }

    /// Allocates the next number of a sequence. The first number is 1. `may_grow` permits the
    /// creation of a new sequence.
    pub fn next(&mut self, sequence: String, may_grow: bool) -> Outcome {
        let last = self.last_numbers.get(&sequence).copied();
        if last.is_none() && !may_grow {
            return Outcome::LimitReached;
        }
        let value = last.unwrap_or_default() + 1;
        self.set(sequence, value);
        Outcome::Number { value }
    }

    /// Sets the last allocated number of a sequence.
    pub fn set(&mut self, sequence: String, value: u64) {
        let size = SEQUENCE_BYTES + sequence.len();
        if self.last_numbers.insert(sequence, value).is_none() {
            self.bytes += size;
        }
    }
}
