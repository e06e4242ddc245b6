//! The commands that were accepted lately, so that one that is submitted again is acknowledged
//! again.

use std::collections::{HashSet, VecDeque};

/// The number of commands that are remembered. At 2,000 changes a day this is more than a week;
/// each takes 16 bytes.
const CAPACITY: usize = 20_000;

/// The digests of the newest commands that were accepted.
#[derive(Clone, Debug, Default)]
pub(super) struct AcceptedCommands {
    /// The oldest first.
    in_order: VecDeque<u128>,
    digests: HashSet<u128>,
}

impl AcceptedCommands {
    pub fn contains(&self, digest: u128) -> bool {
        self.digests.contains(&digest)
    }

    /// Remembers a digest, and forgets the oldest ones beyond the capacity.
    pub fn insert(&mut self, digest: u128) {
        if self.digests.insert(digest) {
            self.in_order.push_back(digest);
        }
        while self.in_order.len() > CAPACITY {
            if let Some(oldest) = self.in_order.pop_front() {
                self.digests.remove(&oldest);
            }
        }
    }

    /// The digests, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = u128> {
        self.in_order.iter().copied()
    }
}
