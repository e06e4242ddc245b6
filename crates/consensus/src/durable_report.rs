//! The report by which a leader lets its followers commit.

use crate::log_position::{LogIndex, Term};
use crate::membership::ReplicaId;
use nanoserde::{DeBin, SerBin};

/// A leader's report of the voters that hold its log durably up to an index: one less than a quorum.
/// A voter that holds the log up to there too completes the quorum and can commit by itself, without
/// the notice that the leader would send after that voter's acknowledgement.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct DurableReport {
    /// The leader's term.
    pub term: Term,
    /// The index up to which the holders have acknowledged the leader's log in this term.
    pub index: LogIndex,
    /// The voters that hold the log up to the index durably.
    pub holders: Vec<ReplicaId>,
}
