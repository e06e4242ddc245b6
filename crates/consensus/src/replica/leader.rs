//! The leader: how it begins, its heartbeats, its check of the quorum, and the transfer of
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

/// Time after which a leadership transfer counts as failed; commands are rejected until then.
const LEADERSHIP_TRANSFER_TIMEOUT: Milliseconds = 1_000;
/// The heartbeat intervals within which a follower must have responded to be a target of a
/// transfer.
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

    /// Advances the time of a leader. One that has lost its quorum steps down (dissertation,
    /// section 6.2).
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

    /// The latest time at which a quorum is known to have been in contact with this leader.
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

    /// Starts a round of heartbeats: sends to all followers, also to those that lack no entries.
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

    /// The replicas that this leader replicates to.
    pub(super) fn followers(&self) -> Vec<ReplicaId> {
        match &self.role {
            Role::Leader(leader) => leader.progress.keys().copied().collect(),
            Role::Follower { .. } | Role::Candidate { .. } => Vec::new(),
        }
    }

    /// Hands leadership to the follower that has most of the log, before this process stops
    /// (dissertation, section 3.10). Does nothing if this replica is not the leader or no follower
    /// is live.
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
        let since = self.now.saturating_sub(max_age);
        let is_eligible = |id: ReplicaId, progress: &Progress| {
            let is_live = progress
                .last_contact
                .is_some_and(|contact| contact >= since);
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

    /// Whether the leader is sending a snapshot. The receiver will need the entries after it, so
    /// they should be kept.
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
