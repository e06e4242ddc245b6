//! One upstream, with what this balancer has observed of it and what other balancers report.

use crate::circuit_breaker::CircuitBreaker;
use crate::prefix_cache::PrefixCache;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use woadstall_control::loads::FleetLoad;
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_control::shards::short_hash;

/// The id of an upstream's incarnation.
pub type UpstreamId = Arc<str>;

/// How an attempt at an upstream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was answered.
    Answered,
    /// The upstream rejected the request without running it.
    Rejected,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke, or what came was no valid response.
    ConnectionError,
    /// The upstream answered with a server error.
    UpstreamError,
    /// The request's deadline passed.
    TimedOut,
    /// The attempt was cancelled here, since the client disconnected.
    Cancelled,
}

/// The prompt of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The hash of the long prefix that it shares with other prompts, if it has one.
    pub prefix_hash: Option<u32>,
    /// The tokens of that prefix.
    pub prefix_tokens: u64,
    /// All tokens of the prompt.
    pub total_tokens: u64,
}

/// How long a load report of other balancers is valid, in milliseconds: reports are repeated every
/// 300 ms.
const REPORT_VALIDITY_MS: u64 = 700;
/// The balancers of the zone that must report an upstream as failing: a single one may have a fault
/// of its own.
const MIN_FAILURE_REPORTS: u16 = 2;
/// The most requests to an upstream that is warming up whose times are kept.
const MAX_WARMUP_SENDS: usize = 64;

/// An upstream. Times are in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub id: UpstreamId,
    /// The hash of its id, by which balancers report on it.
    pub id_hash: u32,
    pub address: SocketAddr,
    pub service: String,
    pub zone: Arc<str>,
    pub region: String,
    /// Requests that it processes at once.
    pub capacity: u64,
    pub status: UpstreamStatus,
    /// The sequence number of its newest registration.
    pub sequence: u64,
    /// Until when it is warming up.
    pub warmup_until: u64,
    /// When requests were sent to it while it was warming up, oldest first.
    pub warmup_sends: VecDeque<u64>,
    pub breaker: CircuitBreaker,
    /// Requests of this balancer that it has.
    pub in_flight: u32,
    /// It has rejected a request for lack of capacity and is skipped until then.
    pub saturated_until: u64,
    /// Since when nothing has come from it while requests of this balancer are pending there.
    pub pending_since: u64,
    /// When something came from it last.
    pub last_activity: Option<u64>,
    /// Prompt tokens of this balancer's requests that it has not prefilled yet.
    pub prefill_backlog: u64,
    /// The newest load report of the balancers near this one.
    pub reported_load: Option<ReportedLoad>,
    /// What its prefix cache holds of the prompts that this balancer, or one near it, has sent
    /// there.
    pub prefix_cache: PrefixCache,
    /// Since when no snapshot has confirmed it; it is removed in the end unless it registers again.
    pub unconfirmed_since: Option<u64>,
}

/// A load report of other balancers, with the time when it came.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    pub at: u64,
    pub load: FleetLoad,
}

impl Upstream {
    /// An upstream that has just registered, without any observations of it.
    pub fn new(now: u64, registration: &Registration, region: String, address: SocketAddr) -> Self {
        Self {
            id: registration.id.as_str().into(),
            id_hash: short_hash(&registration.id),
            address,
            service: registration.service.clone(),
            zone: registration.zone.as_str().into(),
            region,
            capacity: registration.capacity.max(1),
            status: registration.status,
            sequence: registration.sequence,
            warmup_until: now + registration.slow_start_remaining_ms,
            warmup_sends: VecDeque::new(),
            breaker: CircuitBreaker::default(),
            in_flight: 0,
            saturated_until: 0,
            pending_since: 0,
            last_activity: None,
            prefill_backlog: 0,
            reported_load: None,
            prefix_cache: PrefixCache::default(),
            unconfirmed_since: None,
        }
    }

    /// Applies a newer registration; an older one only confirms the upstream.
    pub fn update(&mut self, now: u64, registration: &Registration) {
        self.unconfirmed_since = None;
        let is_stale = (registration.sequence, registration.status) < (self.sequence, self.status);
        if (self.status == UpstreamStatus::Deregistered || is_stale)
            && registration.status != UpstreamStatus::Deregistered
        {
            return;
        }
        self.status = registration.status;
        self.sequence = registration.sequence;
        self.capacity = registration.capacity.max(1);
        self.warmup_until = now + registration.slow_start_remaining_ms;
    }

    /// Whether it is warming up (slow start).
    pub fn is_warming_up(&self, now: u64) -> bool {
        now < self.warmup_until
    }

    /// Whether nothing has come from it for more than `timeout` milliseconds while requests are
    /// pending there.
    pub fn is_unresponsive(&self, now: u64, timeout: u64) -> bool {
        self.in_flight > 0 && now > self.pending_since + timeout
    }

    /// Records that something has come from it.
    pub fn record_activity(&mut self, now: u64) {
        self.pending_since = now;
        self.last_activity = Some(now);
    }

    /// The tokens of a prompt that it would have to prefill: those that its prefix cache does not
    /// hold.
    pub fn tokens_to_prefill(&self, prompt: &Prompt) -> u64 {
        let is_cached = prompt
            .prefix_hash
            .is_some_and(|prefix_hash| self.prefix_cache.contains(prefix_hash));
        if is_cached {
            prompt.total_tokens.saturating_sub(prompt.prefix_tokens)
        } else {
            prompt.total_tokens
        }
    }

    /// Records that a request is sent to it; returns the prompt tokens that it will have to
    /// prefill.
    pub fn record_sent(&mut self, now: u64, prompt: &Prompt) -> u64 {
        if self.in_flight == 0 {
            self.pending_since = now;
        }
        self.in_flight += 1;
        let prefill_tokens = self.tokens_to_prefill(prompt);
        self.prefill_backlog += prefill_tokens;
        self.breaker.record_sent(now);
        if self.is_warming_up(now) {
            self.record_warmup_send(now);
        }
        prefill_tokens
    }

    fn record_warmup_send(&mut self, now: u64) {
        self.warmup_sends.push_back(now);
        if self.warmup_sends.len() > MAX_WARMUP_SENDS {
            self.warmup_sends.pop_front();
        }
    }

    fn valid_report(&self, now: u64) -> Option<ReportedLoad> {
        self.reported_load
            .filter(|report| now <= report.at + REPORT_VALIDITY_MS)
    }

    /// The prompt tokens that it has to prefill, by this balancer's requests or by the report of
    /// all near balancers.
    pub fn fleet_prefill_backlog(&self, now: u64) -> u64 {
        let reported = self
            .valid_report(now)
            .map_or(0, |report| u64::from(report.load.pending_prefill_tokens));
        self.prefill_backlog.max(reported)
    }

    /// Whether other balancers report that it fails, and nothing has come from it here since
    /// `timeout` milliseconds before that report.
    pub fn is_reported_failing(&self, now: u64, timeout: u64) -> bool {
        let Some(report) = self.valid_report(now) else {
            return false;
        };
        let is_contradicted = self
            .last_activity
            .is_some_and(|activity| activity + timeout >= report.at);
        report.load.failing_balancers >= MIN_FAILURE_REPORTS && !is_contradicted
    }
}
