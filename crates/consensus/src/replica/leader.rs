//! The leader: the start of its term, heartbeats, the check of its quorum, and the transfer of
//! leadership.

use super::Replica;
use super::replication::EmptyRequest;
use crate::config::Milliseconds;
use crate::entry::EntryPayload;
use crate::leader_state::LeaderState;
use crate::membership::{Member, ReplicaId};
use crate::message::MessageBody;
use crate::progress::Progress;
use crate::role::Role;

/// The time after which a leadership transfer counts as failed. The leader rejects commands until
/// then.
const LEADERSHIP_TRANSFER_TIMEOUT: Milliseconds = 1_000;
/// The number of heartbeat intervals within which a follower must have been in contact to be the
/// target of a leadership transfer.
const TRANSFER_TARGET_INTERVALS: u64 = 3;

impl Replica {
    pub(super) fn become_leader(&mut self) {
        let first_index = self.log.last_index() + 1;
        let leader = LeaderState::new(self.now, first_index, self.other_voters().into_iter());
        self.role = Role::Leader(Box::new(leader));
        let entry = self.next_entry(EntryPayload::Blank);
        self.append(vec![entry]);
        self.send_heartbeats();
        self.advance_commit_index();
    }

    /// Performs the periodic work of a leader: heartbeats and membership changes. A leader that has
    /// lost contact with a quorum steps down (dissertation, section 6.2).
    pub(super) fn tick_leader(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let heartbeat_due = leader.heartbeat_due;
        if self.now > self.quorum_contact(leader) + self.settings.timing.election_timeout_max {
            self.step_down(None);
            return;
        }
        if self.now >= heartbeat_due {
            self.send_heartbeats();
        }
        self.review_membership();
    }

    /// Returns the latest time at which a quorum is known to have been in contact with this leader.
    pub(super) fn quorum_contact(&self, leader: &LeaderState) -> Milliseconds {
        let last_contact = |member: &Member| {
            if member.id == self.id {
                self.now
            } else {
                self.now
                    .saturating_sub(leader.time_since_contact(self.now, member.id))
            }
        };
        self.log.membership().quorum_value(last_contact)
    }

    /// Starts a heartbeat round. Each follower is sent a request, even if it lacks no entries.
    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.rounds.start(now);
        leader.heartbeat_due = now + self.settings.timing.heartbeat_interval;
        for follower in self.followers() {
            self.send_entries(follower, EmptyRequest::Send);
        }
    }

    /// Returns the replicas to which this leader replicates; empty if this replica is not the
    /// leader.
    pub(super) fn followers(&self) -> Vec<ReplicaId> {
        match &self.role {
            Role::Leader(leader) => leader.progress.keys().copied().collect(),
            Role::Follower { .. } | Role::Candidate { .. } => Vec::new(),
        }
    }

    /// Transfers leadership to the live voter with the longest acknowledged log (dissertation,
    /// section 3.10). The driver calls this before its process stops. Does nothing if this replica
    /// is not the leader or no other voter is live.
    pub fn transfer_leadership(&mut self) {
        let Some(target) = self.transfer_target() else {
            return;
        };
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.transfer_deadline = Some(self.now + LEADERSHIP_TRANSFER_TIMEOUT);
        self.send(target, MessageBody::TimeoutNow);
    }

    fn transfer_target(&self) -> Option<ReplicaId> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let membership = self.log.membership();
        let max_age = TRANSFER_TARGET_INTERVALS * self.settings.timing.heartbeat_interval;
        let oldest_contact = self.now.saturating_sub(max_age);
        let is_eligible = |id: ReplicaId, progress: &Progress| {
            let is_live = progress
                .last_contact
                .is_some_and(|contact| contact >= oldest_contact);
            id != self.id && membership.is_voter(id) && is_live
        };
        let eligible = leader
            .progress
            .iter()
            .filter(|(id, progress)| is_eligible(**id, progress));
        let target =
            eligible.max_by_key(|(_, progress)| (progress.match_index, progress.last_contact));
        target.map(|(id, _)| *id)
    }

    /// Returns whether this leader is sending a snapshot. The receiver needs the entries after the
    /// snapshot next, so the driver should not compact them during the transfer.
    pub fn is_sending_snapshot(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        leader
            .progress
            .values()
            .any(|progress| progress.snapshot.is_some())
    }
}
