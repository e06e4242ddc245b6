//! The roles of a replica: follower, candidate and leader.

use crate::leader_state::LeaderState;
use crate::membership::ReplicaId;
use std::collections::BTreeSet;

/// The role of a replica in its current term (Raft, section 5.1).
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// The replica follows a leader, or waits to hear from a leader.
    Follower {
        /// The leader of the term, if the replica knows it.
        leader: Option<ReplicaId>,
    },
    /// The replica requests votes.
    Candidate {
        /// Whether the replica requests pre-votes for the next term, instead of votes in its
        /// current term.
        pre_vote: bool,
        /// The replicas that have granted their vote.
        votes: BTreeSet<ReplicaId>,
    },
    /// The replica is the leader of the term.
    Leader(Box<LeaderState>),
}
