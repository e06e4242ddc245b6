//! The state that a replica must recover after a restart, and the records that change that state.

use crate::entry::Entry;
use crate::log::Log;
use crate::log_position::{LogIndex, Term};
use crate::membership::ReplicaId;
use crate::snapshot::Snapshot;
use nanoserde::{DeBin, SerBin};

/// The value of `voted_for` in a term in which the replica has not voted.
pub(crate) const NO_VOTE: ReplicaId = 0;

/// A change of the durable state. Records become durable in the order in which the replica issues
/// them.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Record {
    /// The current term, and the replica's vote in that term.
    Term {
        /// The current term.
        term: Term,
        /// The replica that received the vote; 0 if the replica has not voted in the term.
        voted_for: ReplicaId,
    },
    /// Contiguous entries. They replace all entries of the log from the first entry's index on.
    Append(Vec<Entry>),
    /// A snapshot. It replaces the entries that it covers.
    InstallSnapshot(Snapshot),
    /// All entries up to this index are committed. The index may be lower than the group's commit
    /// index. A restarted replica uses the index to apply entries before it knows a leader.
    Commit(LogIndex),
}

/// The durable state of a replica.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    /// The replica's identity.
    pub id: ReplicaId,
    /// The current term.
    pub term: Term,
    /// The replica that received the vote in the current term; 0 if there was no vote.
    pub voted_for: ReplicaId,
    /// The newest snapshot and the entries after it.
    pub log: Log,
    /// An index up to which the log is known to be committed. It may be lower than the group's
    /// commit index.
    pub commit_index: LogIndex,
}

impl DurableState {
    /// Creates the state of a new replica. For a founding member of the group, `founding` names all
    /// founding members. For a replica that joins later, `founding` is the empty default snapshot.
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
