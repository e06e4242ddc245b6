//! Retiring replicas, whose process is about to stop, and leaders that are no longer voters.

use super::Replica;
use crate::config::Milliseconds;
use crate::membership::ReplicaId;

/// The time for which a replica counts as retiring. It covers the remaining run time of the process
/// and its restart.
const RETIREMENT_PERIOD: Milliseconds = 2_000;

impl Replica {
    /// Marks a replica as retiring, because its process is about to stop. If a learner is ready to
    /// become a voter, the learner replaces the retiring replica.
    pub fn set_retiring(&mut self, now: Milliseconds, id: ReplicaId) {
        self.now = self.now.max(now);
        self.retiring_until.insert(id, self.now + RETIREMENT_PERIOD);
    }

    /// Removes the mark from replicas that have been retiring for longer than
    /// [`RETIREMENT_PERIOD`].
    pub(super) fn expire_retiring(&mut self) {
        let now = self.now;
        self.retiring_until.retain(|_, until| now < *until);
    }

    /// Transfers leadership and steps down if a committed membership no longer includes this leader
    /// (Raft, section 6).
    pub(super) fn step_down_if_removed(&mut self) {
        let has_vote = self.log.membership().is_voter(self.id);
        if self.is_leader() && self.is_newest_membership_committed() && !has_vote {
            self.transfer_leadership();
            self.step_down(None);
        }
    }
}
