//! The members of a replica group, and the quorums that they form.

use nanoserde::{DeBin, SerBin};

/// The identity of a replica. A replica that has lost its disk restarts with a new identity.
pub type ReplicaId = u64;

/// A member of the replica group.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Member {
    /// The identity of the replica in votes and acknowledgements.
    pub id: ReplicaId,
    /// The address at which other replicas reach the replica, as `ip:port`.
    pub address: String,
}

/// The voting members of the group. During a change, a quorum needs a majority of the current
/// voters and a majority of the next voters, so that any two quorums share a member (joint
/// consensus; Raft, section 6).
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Membership {
    /// The current voters; during a change, the voters before the change.
    pub voters: Vec<Member>,
    /// The voters after the change; empty if no change is in progress.
    pub next_voters: Vec<Member>,
}

impl Membership {
    /// Creates a membership in which no change is in progress.
    pub fn new(voters: Vec<Member>) -> Self {
        Self {
            voters,
            next_voters: Vec::new(),
        }
    }

    /// Returns whether this is a joint membership, which means that a change is in progress.
    pub fn is_joint(&self) -> bool {
        !self.next_voters.is_empty()
    }

    /// Returns the current voters, then the next voters that are not current voters.
    pub fn all_voters(&self) -> impl Iterator<Item = &Member> {
        let is_current = |member: &Member| self.voters.iter().any(|voter| voter.id == member.id);
        let joining = self
            .next_voters
            .iter()
            .filter(move |member| !is_current(member));
        self.voters.iter().chain(joining)
    }

    /// Returns whether a replica is a current or a next voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.all_voters().any(|member| member.id == id)
    }

    /// Returns whether the members for which `agrees` is true form a quorum: a majority of the
    /// current voters, and in a joint membership also a majority of the next voters.
    pub fn is_quorum(&self, agrees: impl Fn(&Member) -> bool) -> bool {
        is_majority(&self.voters, &agrees)
            && (!self.is_joint() || is_majority(&self.next_voters, &agrees))
    }

    /// Returns the greatest value that all members of some quorum have reached.
    pub fn quorum_value(&self, value: impl Fn(&Member) -> u64) -> u64 {
        let current = majority_value(&self.voters, &value);
        if self.is_joint() {
            current.min(majority_value(&self.next_voters, &value))
        } else {
            current
        }
    }

    /// Returns the greatest value that has been reached by one voter fewer than a majority. Returns
    /// `None` in a joint membership, and in a membership in which one voter is a majority.
    pub fn value_below_quorum(&self, value: impl Fn(&Member) -> u64) -> Option<u64> {
        if self.is_joint() {
            return None;
        }
        let count = majority_size(&self.voters) - 1;
        values_descending(&self.voters, value)
            .get(count.checked_sub(1)?)
            .copied()
    }

    /// Returns the membership after the change; an unchanged copy if no change is in progress.
    pub fn completed(&self) -> Self {
        if self.is_joint() {
            Self::new(self.next_voters.clone())
        } else {
            self.clone()
        }
    }
}

/// Returns the number of voters that form a majority.
fn majority_size(voters: &[Member]) -> usize {
    voters.len() / 2 + 1
}

fn is_majority(voters: &[Member], agrees: impl Fn(&Member) -> bool) -> bool {
    voters.iter().filter(|member| agrees(member)).count() >= majority_size(voters)
}

fn majority_value(voters: &[Member], value: impl Fn(&Member) -> u64) -> u64 {
    values_descending(voters, value)
        .get(majority_size(voters) - 1)
        .copied()
        .unwrap_or_default()
}

fn values_descending(voters: &[Member], value: impl Fn(&Member) -> u64) -> Vec<u64> {
    let mut values: Vec<u64> = voters.iter().map(value).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values
}
