//! Replicas whose process is about to end, and leaders without a vote.

use super::Replica;
use crate::config::Milliseconds;
use crate::membership::ReplicaId;

/// How long a replica counts as retiring: as long as its process still runs, and its restart.
const RETIREMENT_PERIOD: Milliseconds = 2_000;

impl Replica {
    /// Marks a replica whose process is about to end: a learner takes its vote, if there is one.
    pub fn set_retiring(&mut self, now: Milliseconds, id: ReplicaId) {
        self.now = self.now.max(now);
        self.retiring_until.insert(id, self.now + RETIREMENT_PERIOD);
    }

    /// Forgets the replicas that should have ended.
    pub(super) fn expire_retiring(&mut self) {
        let now = self.now;
        self.retiring_until.retain(|_, until| now < *until);
    }

    /// Hands leadership over and steps down if this leader has lost its vote and the others know
    /// (Raft, section 6).
    pub(super) fn retire_without_vote(&mut self) {
        let has_vote = self.log.membership().is_voter(self.id);
        if self.is_leader() && self.is_change_committed() && !has_vote {
            self.transfer_leadership();
            self.step_down(None);
        }
    }
}
