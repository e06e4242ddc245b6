//! The commit index, and the entries to apply.

use super::Replica;
use crate::durable_state::Record;
use crate::membership::Member;
use crate::output::Output;
use crate::role::Role;

impl Replica {
    /// Commits what is durable on a quorum. Entries of former terms are committed only with one of
    /// this leader's term (Raft, section 5.4.2).
    pub(super) fn advance_commit_index(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let durable_index = |member: &Member| {
            if member.id == self.id {
                self.persistence.durable_index()
            } else {
                leader
                    .progress
                    .get(&member.id)
                    .map_or(0, |progress| progress.match_index)
            }
        };
        let index = self.log.membership().quorum_value(durable_index);
        if index > self.commit_index && self.log.term_at(index) == Some(self.term) {
            self.commit_index = index;
            self.persist_and_apply_committed();
            // Followers learn of it at once, not with the next heartbeat.
            self.send_heartbeats();
            self.retire_without_vote();
        }
    }

    /// Applies newly committed entries, and records the commit index for the next start.
    pub(super) fn persist_and_apply_committed(&mut self) {
        self.persist(Record::Commit(self.commit_index));
        self.apply_committed();
    }

    /// Applies committed entries as far as the log has them.
    pub(super) fn apply_committed(&mut self) {
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else {
                return;
            };
            self.applied_index += 1;
            self.outputs.push_back(Output::Apply(entry));
        }
    }
}
