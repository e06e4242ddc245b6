//! The role of a replica in its term.

use crate::leader_state::LeaderState;
use crate::membership::ReplicaId;
use std::collections::BTreeSet;

/// The role of a replica in its term (Raft, section 5.1).
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// Follows a leader, or waits for one.
    Follower {
        /// The leader of the term, if it is known.
        leader: Option<ReplicaId>,
    },
    /// Asks for votes.
    Candidate {
        /// Whether these are pre-votes, for the next term.
        pre_vote: bool,
        /// The replicas that have granted their vote.
        votes: BTreeSet<ReplicaId>,
    },
    /// Leads the term.
    Leader(Box<LeaderState>),
}
