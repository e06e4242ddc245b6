//! The members of a group and its quorums.

use nanoserde::{DeBin, SerBin};

/// Identifies a replica. A replica whose disk was lost starts again with a new identity.
pub type ReplicaId = u64;

/// A member of the replica group.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Member {
    /// The identity that its votes and acknowledgements carry.
    pub id: ReplicaId,
    /// The address at which other replicas reach it, as `ip:port`.
    pub address: String,
}

/// The voting members of the group. During a change both the current and the next voters have to
/// agree (joint consensus: Raft, section 6), so that any two quorums share a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Membership {
    /// The current voters; during a change, the outgoing ones.
    pub voters: Vec<Member>,
    /// The voters after the change; empty if there is no change.
    pub next_voters: Vec<Member>,
}

impl Membership {
    /// A membership without a change.
    pub fn new(voters: Vec<Member>) -> Self {
        Self {
            voters,
            next_voters: Vec::new(),
        }
    }

    /// Whether this is a joint membership: the voters are about to change.
    pub fn is_joint(&self) -> bool {
        !self.next_voters.is_empty()
    }

    /// All voters, the current and the next ones, each once.
    pub fn all_voters(&self) -> impl Iterator<Item = &Member> {
        let is_current = |member: &Member| self.voters.iter().any(|voter| voter.id == member.id);
        let joining = self
            .next_voters
            .iter()
            .filter(move |member| !is_current(member));
        self.voters.iter().chain(joining)
    }

    /// Whether a replica votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.all_voters().any(|member| member.id == id)
    }

    /// Whether the members for which `agrees` is true form a quorum: a majority of the voters, and
    /// in a joint membership also of the next ones.
    pub fn is_quorum(&self, agrees: impl Fn(&Member) -> bool) -> bool {
        is_majority(&self.voters, &agrees)
            && (!self.is_joint() || is_majority(&self.next_voters, &agrees))
    }

    /// The greatest value that all members of some quorum have reached.
    pub fn quorum_value(&self, value: impl Fn(&Member) -> u64) -> u64 {
        let current = majority_value(&self.voters, &value);
        if self.is_joint() {
            current.min(majority_value(&self.next_voters, &value))
        } else {
            current
        }
    }

    /// The greatest value that one voter less than a majority have reached; `None` in a joint
    /// membership, and where a single voter is a majority.
    pub fn value_below_quorum(&self, value: impl Fn(&Member) -> u64) -> Option<u64> {
        if self.is_joint() {
            return None;
        }
        let count = majority(&self.voters) - 1;
        values_descending(&self.voters, value)
            .get(count.checked_sub(1)?)
            .copied()
    }

    /// The membership after the change.
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

fn is_majority(voters: &[Member], agrees: impl Fn(&Member) -> bool) -> bool {
    voters.iter().filter(|member| agrees(member)).count() >= majority(voters)
}

fn majority_value(voters: &[Member], value: impl Fn(&Member) -> u64) -> u64 {
    values_descending(voters, value)
        .get(majority(voters) - 1)
        .copied()
        .unwrap_or_default()
}

fn values_descending(voters: &[Member], value: impl Fn(&Member) -> u64) -> Vec<u64> {
    let mut values: Vec<u64> = voters.iter().map(value).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values
}
