//! The state that a replica must find again after a restart, and the records that change it.

use crate::entry::Entry;
use crate::log::Log;
use crate::log_position::{LogIndex, Term};
use crate::membership::ReplicaId;
use crate::snapshot::Snapshot;
use nanoserde::{DeBin, SerBin};

/// Stands for "no vote" where a vote is stored.
pub(crate) const NO_VOTE: ReplicaId = 0;

/// A change of the durable state. Records become durable in the order in which the replica issued
/// them.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Record {
    /// The term and the vote given in it.
    Term {
        /// The current term.
        term: Term,
        /// The replica voted for, or 0.
        voted_for: ReplicaId,
    },
    /// Entries, which replace all from the first one's index on.
    Append(Vec<Entry>),
    /// A snapshot, which replaces the entries that it covers.
    InstallSnapshot(Snapshot),
    /// All entries up to this index are committed. It may be behind; it lets a restarted replica
    /// apply its entries before there is a leader.
    Commit(LogIndex),
}

/// The durable state of a replica.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    /// The replica's identity.
    pub id: ReplicaId,
    /// The current term.
    pub term: Term,
    /// The replica voted for in this term, or 0.
    pub voted_for: ReplicaId,
    /// The log.
    pub log: Log,
    /// An index up to which the log is known to be committed.
    pub commit_index: LogIndex,
}

impl DurableState {
    /// The state of a new replica. The snapshot of a founder names the founding members; that of a
    /// replica which joins later is empty.
    pub fn new(id: ReplicaId, founding: Snapshot) -> Self {
        Self {
            id,
            term: 0,
            voted_for: NO_VOTE,
            commit_index: founding.index,
            log: Log::new(founding, Vec::new()),
        }
    }

    /// Applies a record to the state.
    pub fn apply_record(&mut self, record: &Record) {
        match record {
            Record::Term { term, voted_for } => {
                self.term = *term;
                self.voted_for = *voted_for;
            }
            Record::Append(entries) => self.log.append(entries),
            Record::InstallSnapshot(snapshot) => self.log.install(snapshot.clone()),
            Record::Commit(index) => self.commit_index = self.commit_index.max(*index),
        }
    }
}
