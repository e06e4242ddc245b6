//! Errors that a replica returns to its driver.

use crate::membership::ReplicaId;
use thiserror::Error;

/// The reason why a command was not appended to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This replica is not the leader.
    #[error("not the leader (known leader: {leader:?})")]
    NotLeader {
        /// The leader of the current term, if this replica knows it.
        leader: Option<ReplicaId>,
    },
    /// The leader is transferring leadership to another replica.
    #[error("a leadership transfer is in progress")]
    TransferInProgress,
    /// The uncommitted entries of the log exceed the limit on their total size.
    #[error("{uncommitted_bytes} bytes of entries are not committed yet")]
    Backlogged {
        /// The total size of the uncommitted entries, in bytes.
        uncommitted_bytes: usize,
    },
}

/// The reason why a membership change was not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChangeVotersError {
    /// The new membership has no voters.
    #[error("the new membership has no voters")]
    NoVoters,
    /// This replica is not the leader.
    #[error("not the leader (known leader: {leader:?})")]
    NotLeader {
        /// The leader of the current term, if this replica knows it.
        leader: Option<ReplicaId>,
    },
    /// The previous membership change is not complete.
    #[error("a membership change is in progress")]
    ChangeInProgress,
    /// The leader has not yet committed an entry of its own term.
    #[error("no entry of the leader's term is committed yet")]
    TermNotCommitted,
}
