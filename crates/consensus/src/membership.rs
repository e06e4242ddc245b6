//! The members of the group, and what makes a quorum of them.

use nanoserde::{DeBin, SerBin};

/// Identifies a replica. A replica whose disk was lost starts again with a new identity.
pub type ReplicaId = u64;

/// A member of the replica group.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Member {
    /// The identity that its votes and acknowledgements carry.
    pub id: ReplicaId,
    /// Where other replicas reach it, as `ip:port`.
    pub address: String,
}

/// The voting members of the group. While they change, both the former and the next voters have to agree (joint consensus),
/// so that no two quorums of one moment are without a common member.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Membership {
    /// The voters; during a change, the former ones.
    pub voters: Vec<Member>,
    /// During a change, the voters that come next; else none.
    pub next_voters: Vec<Member>,
}

impl Membership {
    /// Members that are not about to change.
    pub fn new(voters: Vec<Member>) -> Self {
        Self {
            voters,
            next_voters: Vec::new(),
        }
    }

    /// Whether the voters are about to change.
    pub fn is_joint(&self) -> bool {
        !self.next_voters.is_empty()
    }

    /// All voters, the former ones and those that come next, each once.
    pub fn all_voters(&self) -> impl Iterator<Item = &Member> {
        let is_former = |member: &Member| self.voters.iter().any(|former| former.id == member.id);
        self.voters.iter().chain(
            self.next_voters
                .iter()
                .filter(move |member| !is_former(member)),
        )
    }

    /// Whether a replica votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.all_voters().any(|member| member.id == id)
    }

    /// Whether these members are a quorum: a majority of the voters, and during a change of the next ones too.
    pub fn is_quorum(&self, holds: impl Fn(&Member) -> bool) -> bool {
        is_majority(&self.voters, &holds)
            && (!self.is_joint() || is_majority(&self.next_voters, &holds))
    }

    /// The greatest value that each member of some quorum has reached.
    pub fn quorum_value(&self, value: impl Fn(&Member) -> u64) -> u64 {
        let former = majority_value(&self.voters, &value);
        if self.is_joint() {
            former.min(majority_value(&self.next_voters, &value))
        } else {
            former
        }
    }

    /// The members once the change is complete.
    pub fn completed(&self) -> Self {
        if self.is_joint() {
            Self::new(self.next_voters.clone())
        } else {
            self.clone()
        }
    }
}

/// The number of voters that makes a majority.
fn majority(voters: &[Member]) -> usize {
    voters.len() / 2 + 1
}

fn is_majority(voters: &[Member], holds: impl Fn(&Member) -> bool) -> bool {
    voters.iter().filter(|member| holds(member)).count() >= majority(voters)
}

fn majority_value(voters: &[Member], value: impl Fn(&Member) -> u64) -> u64 {
    let mut values: Vec<u64> = voters.iter().map(value).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values
        .get(majority(voters) - 1)
        .copied()
        .unwrap_or_default()
}
