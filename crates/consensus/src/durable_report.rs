//! The report from which a follower can commit entries without waiting for the leader's commit
//! index.

use crate::log_position::{LogIndex, Term};
use crate::membership::ReplicaId;
use nanoserde::{DeBin, SerBin};

/// A leader's report of the voters that hold its log durably up to an index. The reported voters
/// are one voter short of a quorum. Another voter that also holds the log durably up to the index
/// completes the quorum. That voter can commit the entries without waiting for the new commit
/// index, which the leader sends only after that voter's acknowledgement.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct DurableReport {
    /// The leader's term.
    pub term: Term,
    /// The index up to which all holders have acknowledged the leader's log in this term.
    pub index: LogIndex,
    /// The voters that hold the log durably up to `index`.
    pub holders: Vec<ReplicaId>,
}
