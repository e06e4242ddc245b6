//! The volatile state of a leader.

use crate::config::Milliseconds;
use crate::heartbeat_rounds::HeartbeatRounds;
use crate::log_position::LogIndex;
use crate::membership::{Member, ReplicaId};
use crate::progress::Progress;
use std::collections::{BTreeMap, VecDeque};

/// A read that waits until a quorum has confirmed the leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    /// The caller's identifier.
    pub read_id: u64,
    /// The first round of heartbeats that confirms it.
    pub confirming_round: u64,
}

/// A replica that is replicated to and has no vote.
#[derive(Clone, Debug)]
pub(crate) struct Learner {
    pub member: Member,
    /// When it last asked to join.
    pub last_request: Milliseconds,
}

/// The state of a leader, reinitialized after each election.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// When it was elected.
    pub elected_at: Milliseconds,
    /// The progress of all followers and learners.
    pub progress: BTreeMap<ReplicaId, Progress>,
    pub learners: BTreeMap<ReplicaId, Learner>,
    pub rounds: HeartbeatRounds,
    pub heartbeat_due: Milliseconds,
    /// The index of the first entry of its term. Until that is committed, it serves no reads and
    /// changes no members.
    pub first_index: LogIndex,
    /// Reads that wait, the oldest first.
    pub pending_reads: VecDeque<PendingRead>,
    /// The index of the last report of durable entries; 0 before the first one.
    pub reported_index: LogIndex,
    /// Until when commands are rejected because of a leadership transfer.
    pub transfer_deadline: Option<Milliseconds>,
}

impl LeaderState {
    /// The state of a leader whose first entry gets the index `first_index`.
    pub fn new(
        now: Milliseconds,
        first_index: LogIndex,
        followers: impl Iterator<Item = ReplicaId>,
    ) -> Self {
        let progress = followers.map(|follower| (follower, Progress::starting_at(first_index)));
        Self {
            elected_at: now,
            progress: progress.collect(),
            learners: BTreeMap::new(),
            rounds: HeartbeatRounds::default(),
            heartbeat_due: now,
            first_index,
            pending_reads: VecDeque::new(),
            reported_index: 0,
            transfer_deadline: None,
        }
    }

    /// Records that a follower has responded to a round of heartbeats. It was in contact when the
    /// round started, whenever the response arrives.
    pub fn record_response(&mut self, follower: ReplicaId, heartbeat_round: u64) {
        let started_at = self.rounds.started_at(heartbeat_round);
        let Some(progress) = self.progress.get_mut(&follower) else {
            return;
        };
        progress.last_contact = progress.last_contact.max(started_at);
        progress.acknowledged_round = progress.acknowledged_round.max(heartbeat_round);
    }

    /// How long ago a follower was last in contact.
    pub fn time_since_contact(&self, now: Milliseconds, follower: ReplicaId) -> Milliseconds {
        let progress = self.progress.get(&follower);
        let last_contact = progress.and_then(|progress| progress.last_contact);
        now.saturating_sub(last_contact.unwrap_or(self.elected_at))
    }
}
