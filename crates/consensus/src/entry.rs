//! Entries of the replicated log.

use crate::log_position::{LogIndex, LogPosition, Term};
use crate::membership::Membership;
use nanoserde::{DeBin, SerBin};

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum EntryPayload {
    /// Nothing. A new leader appends such an entry to commit the entries of former terms (Raft,
    /// section 8).
    Blank,
    /// A command of the state machine.
    Command(Vec<u8>),
    /// A membership, in force as soon as the entry is in the log (Raft, section 6).
    Membership(Membership),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Entry {
    /// Its index.
    pub index: LogIndex,
    /// The term of the leader that created it.
    pub term: Term,
    /// Its content.
    pub payload: EntryPayload,
}

impl Entry {
    /// The entry's position.
    pub fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: self.term,
        }
    }

    /// The bytes that the entry counts for in the limits on messages and on uncommitted entries.
    pub(crate) fn size(&self) -> usize {
        const HEADER_BYTES: usize = 32;
        match &self.payload {
            EntryPayload::Command(command) => HEADER_BYTES + command.len(),
            EntryPayload::Blank | EntryPayload::Membership(_) => HEADER_BYTES,
        }
    }
}
