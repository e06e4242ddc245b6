//! What a balancer knows of one upstream.

use crate::breaker::Breaker;
use crate::kept::KeptPrompts;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use woadstall_control::loads::FleetLoad;
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_control::shards::short_hash;

/// The id of an upstream's incarnation.
pub type UpstreamId = Arc<str>;

/// How a request at an upstream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// The upstream turned it away unseen.
    Rejected,
    /// No connection came up.
    Unreachable,
    /// The connection broke, or what came was no answer to it.
    Broken,
    /// It was answered with an error of the upstream's own.
    Error,
    /// Its deadline passed at the upstream.
    TimedOut,
    /// It was given up here, as its client left.
    Withdrawn,
}

/// What a request tells of its prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The hash of the long beginning that it shares with others, if it has one.
    pub shared: Option<u32>,
    /// The tokens of that beginning.
    pub shared_tokens: u64,
    /// All its tokens.
    pub tokens: u64,
}

/// An upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub id: UpstreamId,
    /// The hash of its id, by which balancers speak of it.
    pub key: u32,
    pub address: SocketAddr,
    pub service: String,
    pub zone: Arc<str>,
    pub region: String,
    pub capacity: u64,
    pub status: UpstreamStatus,
    pub sequence: u64,
    /// Until when it is cold.
    pub cold_until: u64,
    /// When requests were sent to it while it was cold, oldest first.
    pub cold_sends: VecDeque<u64>,
    pub breaker: Breaker,
    /// Requests of this balancer that it has now.
    pub in_flight: u32,
    /// It has said that it is full, and is passed over until then.
    pub full_until: u64,
    /// Since when nothing has come from it, while requests of this balancer wait there.
    pub silent_since: u64,
    /// When something came from it last.
    pub heard: Option<u64>,
    /// Prompt tokens of this balancer's requests that it has not begun to answer.
    pub reading: u64,
    /// What the balancers near this one tell of it, and when they did.
    pub told: Option<(u64, FleetLoad)>,
    /// What it keeps of the prompts that this balancer, or one near it, has sent there.
    pub kept: KeptPrompts,
    /// Not in the newest snapshot: it is forgotten then, unless it is told of again.
    pub unconfirmed_since: Option<u64>,
}

/// Sends to a cold upstream that are remembered.
const COLD_SENDS: usize = 64;

impl Upstream {
    pub fn new(now: u64, registration: &Registration, region: String, address: SocketAddr) -> Self {
        Self {
            id: registration.id.as_str().into(),
            key: short_hash(&registration.id),
            address,
            service: registration.service.clone(),
            zone: registration.zone.as_str().into(),
            region,
            capacity: registration.capacity.max(1),
            status: registration.status,
            sequence: registration.sequence,
            cold_until: now + registration.slow_start_remaining_ms,
            cold_sends: VecDeque::new(),
            breaker: Breaker::default(),
            in_flight: 0,
            full_until: 0,
            silent_since: 0,
            heard: None,
            reading: 0,
            told: None,
            kept: KeptPrompts::default(),
            unconfirmed_since: None,
        }
    }

    /// Takes a newer registration over.
    pub fn update(&mut self, now: u64, registration: &Registration) {
        self.unconfirmed_since = None;
        let old = (self.sequence, self.status);
        let is_old = self.status == UpstreamStatus::Deregistered
            || (registration.sequence, registration.status) < old;
        if is_old && registration.status != UpstreamStatus::Deregistered {
            return;
        }
        self.status = registration.status;
        self.sequence = registration.sequence;
        self.capacity = registration.capacity.max(1);
        self.cold_until = now + registration.slow_start_remaining_ms;
    }

    pub fn is_cold(&self, now: u64) -> bool {
        now < self.cold_until
    }

    /// Whether it has told nothing for so long, though requests wait there.
    pub fn is_silent(&self, now: u64, patience: u64) -> bool {
        self.in_flight > 0 && now > self.silent_since + patience
    }

    /// Something has come from it.
    pub fn note_heard(&mut self, now: u64) {
        self.silent_since = now;
        self.heard = Some(now);
    }

    /// The tokens of a prompt that it has to read, as far as this balancer knows.
    pub fn unread(&self, prompt: &Prompt) -> u64 {
        let is_kept = prompt.shared.is_some_and(|shared| self.kept.has(shared));
        if is_kept {
            prompt.tokens.saturating_sub(prompt.shared_tokens)
        } else {
            prompt.tokens
        }
    }

    pub fn note_cold_send(&mut self, now: u64) {
        self.cold_sends.push_back(now);
        if self.cold_sends.len() > COLD_SENDS {
            self.cold_sends.pop_front();
        }
    }
}
