//! What a replica knows in each of its roles.

use crate::membership::{Member, ReplicaId};
use crate::snapshots::OutgoingSnapshot;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Rounds of heartbeats whose times are kept: more than are on their way at a time.
const ROUNDS_KEPT: usize = 256;

/// The role of a replica in its term.
#[derive(Clone, Debug)]
pub enum Role {
    /// Follows a leader, if it knows of one.
    Follower {
        /// The leader of the term.
        leader: Option<ReplicaId>,
    },
    /// Stands for election, or asks whether it could.
    Candidate {
        /// Whether it only asks.
        pre: bool,
        /// Who has granted a vote.
        votes: BTreeSet<ReplicaId>,
    },
    /// Leads the term.
    Leader(Box<Leadership>),
}

/// How far a follower is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// The next entry to send.
    pub next: u64,
    /// The last entry known to be durable there.
    pub matched: u64,
    /// When the newest round that it answered began, if it answered one in this term.
    pub contact: Option<u64>,
    /// The newest round that it answered.
    pub round: u64,
    /// The snapshot that is on its way there.
    pub snapshot: Option<OutgoingSnapshot>,
}

impl Progress {
    /// The progress of a follower that is assumed to have all entries before this one.
    pub fn from(next: u64) -> Self {
        Self {
            next,
            ..Self::default()
        }
    }
}

/// A read that waits for a quorum to confirm the leader.
#[derive(Clone, Debug)]
pub struct Read {
    /// The caller's number of it.
    pub number: u64,
    /// The first round that confirms it.
    pub(crate) round: u64,
}

/// A replica that asks for a vote.
#[derive(Clone, Debug)]
pub(crate) struct Learner {
    pub member: Member,
    /// When it last asked.
    pub asked: u64,
}

/// The state of a leader.
#[derive(Clone, Debug)]
pub struct Leadership {
    pub(crate) since: u64,
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) learners: BTreeMap<ReplicaId, Learner>,
    pub(crate) round: u64,
    /// The newest rounds and when they began.
    rounds: VecDeque<(u64, u64)>,
    pub(crate) heartbeat_due: u64,
    /// The first entry of its term: until it is committed, nothing can be read and no member changed.
    pub(crate) first_index: u64,
    pub(crate) reads: VecDeque<Read>,
    pub(crate) transfer_until: Option<u64>,
}

impl Leadership {
    /// A leadership that begins with an entry at this position.
    pub(crate) fn new(
        now: u64,
        first_index: u64,
        followers: impl Iterator<Item = ReplicaId>,
    ) -> Self {
        Self {
            since: now,
            progress: followers
                .map(|follower| (follower, Progress::from(first_index)))
                .collect(),
            learners: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            heartbeat_due: now,
            first_index,
            reads: VecDeque::new(),
            transfer_until: None,
        }
    }

    /// Begins a round of heartbeats.
    pub(crate) fn begin_round(&mut self, now: u64) {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > ROUNDS_KEPT {
            self.rounds.pop_front();
        }
    }

    /// A follower has answered a round. It was in contact when the round began, whenever its answer comes.
    pub(crate) fn note_answer(&mut self, follower: ReplicaId, round: u64) {
        let began = self
            .rounds
            .iter()
            .find(|(number, _)| *number == round)
            .map(|(_, began)| *began);
        let Some(progress) = self.progress.get_mut(&follower) else {
            return;
        };
        progress.contact = progress.contact.max(began);
        progress.round = progress.round.max(round);
    }

    /// For how long a follower has not answered.
    pub(crate) fn silent_for(&self, now: u64, follower: ReplicaId) -> u64 {
        let contact = self
            .progress
            .get(&follower)
            .and_then(|progress| progress.contact);
        now.saturating_sub(contact.unwrap_or(self.since))
    }

    pub(crate) fn into_reads(self) -> impl Iterator<Item = Read> {
        self.reads.into_iter()
    }
}
