//! Errors of the operations of a replica.

use crate::membership::ReplicaId;
use thiserror::Error;

/// Why a command was not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This replica is not the leader.
    #[error("not the leader (known leader: {leader:?})")]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<ReplicaId>,
    },
    /// The leader is handing leadership over.
    #[error("a leadership transfer is in progress")]
    TransferInProgress,
    /// Too many entries wait to be committed.
    #[error("{uncommitted_bytes} bytes of entries are not committed yet")]
    Backlogged {
        /// The bytes of the entries that are not committed.
        uncommitted_bytes: usize,
    },
}

/// Why a change of the voters was not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChangeVotersError {
    /// The new membership has no voter.
    #[error("a group needs a voter")]
    NoVoters,
    /// This replica is not the leader.
    #[error("not the leader (known leader: {leader:?})")]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<ReplicaId>,
    },
    /// A former change is not complete.
    #[error("a membership change is in progress")]
    ChangeInProgress,
    /// The leader has not committed an entry of its term yet.
    #[error("no entry of the leader's term is committed yet")]
    TermNotCommitted,
}
