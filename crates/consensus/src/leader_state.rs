//! The volatile state of a leader.

use crate::config::Milliseconds;
use crate::heartbeat_rounds::HeartbeatRounds;
use crate::log_position::LogIndex;
use crate::membership::{Member, ReplicaId};
use crate::progress::Progress;
use std::collections::{BTreeMap, VecDeque};

/// A read that waits until a quorum has confirmed that this replica is still the leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    /// The identifier that the caller has given to the read.
    pub read_id: u64,
    /// The first heartbeat round whose responses confirm the read.
    pub confirming_round: u64,
}

/// A replica without a vote that the leader replicates to.
#[derive(Clone, Debug)]
pub(crate) struct Learner {
    pub member: Member,
    /// The time of the learner's last request to join.
    pub last_request: Milliseconds,
}

/// The state of a leader, reinitialized after each election.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    pub elected_at: Milliseconds,
    /// The replication progress of each follower and learner.
    pub progress: BTreeMap<ReplicaId, Progress>,
    pub learners: BTreeMap<ReplicaId, Learner>,
    pub rounds: HeartbeatRounds,
    pub heartbeat_due: Milliseconds,
    /// The index of the first entry of the leader's term. Until that entry is committed, the leader
    /// serves no reads and begins no membership change.
    pub first_index: LogIndex,
    /// Pending reads, the oldest first.
    pub pending_reads: VecDeque<PendingRead>,
    /// The index in the last durable report; 0 before the first report.
    pub reported_index: LogIndex,
    /// The time until which commands are rejected because of a leadership transfer.
    pub transfer_deadline: Option<Milliseconds>,
}

impl LeaderState {
    /// Creates the state of a new leader whose first entry gets the index `first_index`.
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

    /// Records that a follower has responded to a heartbeat round. The time of contact is the start
    /// of the round. The time at which the response arrives proves nothing, because the response
    /// may have been delayed.
    pub fn record_response(&mut self, follower: ReplicaId, heartbeat_round: u64) {
        let started_at = self.rounds.started_at(heartbeat_round);
        let Some(progress) = self.progress.get_mut(&follower) else {
            return;
        };
        progress.last_contact = progress.last_contact.max(started_at);
        progress.acknowledged_round = progress.acknowledged_round.max(heartbeat_round);
    }

    /// Returns the time since the last contact of a follower, or since the election if the follower
    /// has not responded to this leader.
    pub fn time_since_contact(&self, now: Milliseconds, follower: ReplicaId) -> Milliseconds {
        let progress = self.progress.get(&follower);
        let last_contact = progress.and_then(|progress| progress.last_contact);
        now.saturating_sub(last_contact.unwrap_or(self.elected_at))
    }
}
