//! Recently accepted commands, which are acknowledged again when they are resubmitted.

use std::collections::{HashSet, VecDeque};

/// The number of remembered commands. At 2,000 changes a day it covers more than a week; each
/// command takes 16 bytes.
const MAX_COMMANDS: usize = 20_000;

/// The digests of the most recently accepted commands.
#[derive(Clone, Debug, Default)]
pub(super) struct AcceptedCommands {
    /// The digests in the order of acceptance, oldest first.
    in_order: VecDeque<u128>,
    digests: HashSet<u128>,
}

impl AcceptedCommands {
    pub fn contains(&self, digest: u128) -> bool {
        self.digests.contains(&digest)
    }

    /// Adds a digest, and removes the oldest ones in excess of the capacity.
    pub fn insert(&mut self, digest: u128) {
        if self.digests.insert(digest) {
            self.in_order.push_back(digest);
        }
        while self.in_order.len() > MAX_COMMANDS {
            if let Some(oldest) = self.in_order.pop_front() {
                self.digests.remove(&oldest);
            }
        }
    }

    /// Iterates over the digests, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = u128> {
        self.in_order.iter().copied()
    }
}
