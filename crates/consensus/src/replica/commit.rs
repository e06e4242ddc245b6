//! The commit index, and the application of committed entries.

use super::Replica;
use crate::durable_state::Record;
use crate::leader_state::LeaderState;
use crate::log_position::LogIndex;
use crate::membership::{Member, ReplicaId};
use crate::output::Output;
use crate::role::Role;

impl Replica {
    /// Commits the entries that are durable on a quorum. Entries of earlier terms are committed
    /// only together with an entry of this leader's term (Raft, section 5.4.2).
    pub(super) fn advance_commit_index(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let durable_index = |member: &Member| self.durable_index_of(leader, member.id);
        let index = self.log.membership().quorum_value(durable_index);
        if index > self.commit_index && self.log.term_at(index) == Some(self.term) {
            self.commit_index = index;
            self.persist_and_apply_committed();
            // A round of heartbeats now tells the followers the new commit index without waiting
            // for the next heartbeat interval.
            self.send_heartbeats();
            self.step_down_if_removed();
        }
    }

    /// Returns the index up to which a replica holds this leader's log durably, as far as the
    /// leader knows.
    pub(super) fn durable_index_of(&self, leader: &LeaderState, id: ReplicaId) -> LogIndex {
        if id == self.id {
            return self.persistence.durable_index();
        }
        let progress = leader.progress.get(&id);
        progress.map_or(0, |progress| progress.match_index)
    }

    /// Applies newly committed entries, and persists the commit index for the next start.
    pub(super) fn persist_and_apply_committed(&mut self) {
        self.persist(Record::Commit(self.commit_index));
        self.apply_committed();
    }

    /// Applies the committed entries that are in the log.
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
