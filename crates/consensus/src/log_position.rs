//! Positions in the replicated log.

use nanoserde::{DeBin, SerBin};
use std::cmp::Ordering;

/// The number of an election term; 0 before the first election.
pub type Term = u64;

/// The index of a log entry. The first entry has index 1.
pub type LogIndex = u64;

/// The index and the term of an entry. The two together identify an entry in the group (Raft,
/// section 5.3).
///
/// Positions are ordered by term, then by index. Of two logs, the log whose last entry has the
/// greater position is more up-to-date (Raft, section 5.4.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct LogPosition {
    /// The index of the entry.
    pub index: LogIndex,
    /// The term of the leader that created the entry.
    pub term: Term,
}

impl Ord for LogPosition {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.term, self.index).cmp(&(other.term, other.index))
    }
}

impl PartialOrd for LogPosition {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
