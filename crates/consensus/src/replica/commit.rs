//! The commit index, and the entries to apply.

use super::Replica;
use crate::durable_state::Record;
use crate::leader_state::LeaderState;
use crate::log_position::LogIndex;
use crate::membership::{Member, ReplicaId};
use crate::output::Output;
use crate::role::Role;

impl Replica {
    /// Commits what is durable on a quorum. Entries of former terms are committed only with one of
    /// this leader's term (Raft, section 5.4.2).
    pub(super) fn advance_commit_index(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let durable_index = |member: &Member| self.durable_index_of(leader, member.id);
        let index = self.log.membership().quorum_value(durable_index);
        if index > self.commit_index && self.log.term_at(index) == Some(self.term) {
            self.commit_index = index;
            self.persist_and_apply_committed();
            // Followers learn of it at once, not with the next heartbeat.
            self.send_heartbeats();
            self.retire_without_vote();
        }
    }

    /// The index up to which this leader knows that a replica holds its log durably.
    pub(super) fn durable_index_of(&self, leader: &LeaderState, id: ReplicaId) -> LogIndex {
        if id == self.id {
            return self.persistence.durable_index();
        }
        let progress = leader.progress.get(&id);
        progress.map_or(0, |progress| progress.match_index)
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
