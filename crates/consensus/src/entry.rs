//! Entries of the replicated log.

use crate::log_position::{LogIndex, LogPosition, Term};
use crate::membership::Membership;
use nanoserde::{DeBin, SerBin};

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum EntryPayload {
    /// A no-op. A new leader appends a blank entry, because committing that entry also commits the
    /// entries of earlier terms (Raft, section 8).
    Blank,
    /// A command for the state machine, in the state machine's own encoding.
    Command(Vec<u8>),
    /// A membership. A replica uses the membership as soon as the entry is in its log (Raft,
    /// section 6).
    Membership(Membership),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Entry {
    /// The index of the entry in the log.
    pub index: LogIndex,
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The content of the entry.
    pub payload: EntryPayload,
}

impl Entry {
    /// Returns the position of the entry in the log.
    pub fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: self.term,
        }
    }

    /// Returns the number of bytes by which the entry counts towards the limits on the size of a
    /// message and on uncommitted entries.
    pub(crate) fn size(&self) -> usize {
        const HEADER_BYTES: usize = 32;
        match &self.payload {
            EntryPayload::Command(command) => HEADER_BYTES + command.len(),
            EntryPayload::Blank | EntryPayload::Membership(_) => HEADER_BYTES,
        }
    }
}
