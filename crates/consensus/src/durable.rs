//! What a replica must find again after a restart.

use crate::log::{Entry, Log, Snapshot};
use crate::membership::ReplicaId;
use nanoserde::{DeBin, SerBin};

/// A change to the durable state. Records are made durable in the order in which they were handed out.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Record {
    /// The term, and the vote given in it (0 for none).
    Term {
        /// The current term.
        term: u64,
        /// The replica voted for, or 0.
        vote: ReplicaId,
    },
    /// Entries, which replace all from the first one's position on.
    Append(Vec<Entry>),
    /// A snapshot, which replaces what it covers.
    InstallSnapshot(Snapshot),
    /// All entries up to this position are committed. It may be behind; it lets a replica that starts again apply what it has
    /// before there is a leader.
    Commit(u64),
}

/// The durable state of a replica: the fold over its records.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    /// The replica's identity.
    pub id: ReplicaId,
    /// The current term.
    pub term: u64,
    /// The replica voted for in this term, or 0.
    pub vote: ReplicaId,
    /// The log.
    pub log: Log,
    /// A position up to which the log was known to be committed.
    pub commit: u64,
}

impl DurableState {
    /// The state of a new replica. One that founds the group begins with its members; one that joins with none.
    pub fn new(id: ReplicaId, founding: Snapshot) -> Self {
        Self {
            id,
            term: 0,
            vote: 0,
            commit: founding.index,
            log: Log::new(founding, Vec::new()),
        }
    }

    /// Folds one record into the state.
    pub fn apply_record(&mut self, record: &Record) {
        match record {
            Record::Term { term, vote } => (self.term, self.vote) = (*term, *vote),
            Record::Append(entries) => self.log.append(entries),
            Record::InstallSnapshot(snapshot) => self.log.install(snapshot.clone()),
            Record::Commit(index) => self.commit = self.commit.max(*index),
        }
    }
}
