//! State of one upstream: observations of this balancer and reports of other balancers.

use crate::circuit_breaker::CircuitBreaker;
use crate::prefix_cache::PrefixCache;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use woadstall_control::loads::FleetLoad;
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_control::shards::short_hash;

/// Id of one incarnation of an upstream; a restarted upstream has a new id.
pub type UpstreamId = Arc<str>;

/// Outcome of an attempt to send a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered the request.
    Answered,
    /// The upstream rejected the request without running it.
    Rejected,
    /// The connection to the upstream could not be established.
    ConnectFailed,
    /// The connection broke, or the upstream sent an invalid response.
    ConnectionError,
    /// The upstream answered with a server error.
    UpstreamError,
    /// The deadline of the request passed.
    TimedOut,
    /// This balancer cancelled the attempt because the client disconnected.
    Cancelled,
}

/// Prompt of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the long prefix that the prompt shares with other prompts, if any.
    pub prefix_hash: Option<u32>,
    /// Number of tokens in the shared prefix.
    pub prefix_tokens: u64,
    /// Number of tokens in the whole prompt.
    pub total_tokens: u64,
}

/// How long a load report of other balancers is valid, in milliseconds. Balancers repeat their
/// reports every 300 ms.
const REPORT_VALIDITY_MS: u64 = 700;
/// Minimum number of balancers of the zone that must report an upstream as failing. A single
/// balancer may have a fault of its own.
const MIN_FAILURE_REPORTS: u16 = 2;
/// Maximum number of send times kept for an upstream that is warming up.
const MAX_WARMUP_SENDS: usize = 64;

/// State of an upstream. Times are in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub id: UpstreamId,
    /// Hash of the id, which identifies the upstream in reports of balancers.
    pub id_hash: u32,
    pub address: SocketAddr,
    pub service: String,
    pub zone: Arc<str>,
    pub region: String,
    /// Maximum number of requests that the upstream processes concurrently.
    pub capacity: u64,
    pub status: UpstreamStatus,
    /// Sequence number of the newest registration.
    pub sequence: u64,
    /// Time at which the warm-up period ends.
    pub warmup_until: u64,
    /// Times at which requests were sent to the upstream while it was warming up, oldest first.
    pub warmup_sends: VecDeque<u64>,
    pub breaker: CircuitBreaker,
    /// Number of requests of this balancer in flight at the upstream.
    pub in_flight: u32,
    /// Time until which the upstream is skipped because it rejected a request for lack of capacity.
    pub saturated_until: u64,
    /// Start of the current period in which requests of this balancer are pending and the upstream
    /// has sent no data.
    pub pending_since: u64,
    /// Time of the most recent data from the upstream.
    pub last_activity: Option<u64>,
    /// Prompt tokens of this balancer's requests that the upstream has not prefilled yet.
    pub prefill_backlog: u64,
    /// Newest load report of the nearby balancers.
    pub reported_load: Option<ReportedLoad>,
    /// Model of the prefix cache, based on the prompts that this balancer and nearby balancers have
    /// sent to the upstream.
    pub prefix_cache: PrefixCache,
    /// Time since which no snapshot has confirmed the upstream. An upstream that stays unconfirmed
    /// is removed unless it registers again.
    pub unconfirmed_since: Option<u64>,
}

/// Load report of other balancers with its time of arrival.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    pub received_at: u64,
    pub load: FleetLoad,
}

impl Upstream {
    /// Creates the state of a newly registered upstream, without any observations.
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

    /// Applies a registration if it is newer than the last one or deregisters the upstream. An
    /// older registration, or any registration after the upstream has deregistered, only confirms
    /// that the upstream is still known.
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

    /// Whether the upstream is warming up (slow start).
    pub fn is_warming_up(&self, now: u64) -> bool {
        now < self.warmup_until
    }

    /// Whether requests are pending at the upstream and it has sent no data for more than
    /// `timeout_ms` milliseconds.
    pub fn is_unresponsive(&self, now: u64, timeout_ms: u64) -> bool {
        self.in_flight > 0 && now > self.pending_since + timeout_ms
    }

    /// Records that the upstream has sent data.
    pub fn record_activity(&mut self, now: u64) {
        self.pending_since = now;
        self.last_activity = Some(now);
    }

    /// Number of prompt tokens that the upstream would have to prefill, without the tokens in its
    /// prefix cache.
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

    /// Records that a request is sent to the upstream, and returns the number of prompt tokens that
    /// the upstream has to prefill for it.
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
            .filter(|report| now <= report.received_at + REPORT_VALIDITY_MS)
    }

    /// Number of prompt tokens that the upstream has yet to prefill: the larger of this balancer's
    /// own count and the count in the valid report of the nearby balancers.
    pub fn fleet_prefill_backlog(&self, now: u64) -> u64 {
        let reported = self
            .valid_report(now)
            .map_or(0, |report| u64::from(report.load.pending_prefill_tokens));
        self.prefill_backlog.max(reported)
    }

    /// Whether other balancers report the upstream as failing, unless the upstream sent data to
    /// this balancer within `timeout_ms` milliseconds before the report or at any time after it.
    pub fn is_reported_failing(&self, now: u64, timeout_ms: u64) -> bool {
        let Some(report) = self.valid_report(now) else {
            return false;
        };
        let is_contradicted = self
            .last_activity
            .is_some_and(|activity| activity + timeout_ms >= report.received_at);
        report.load.failing_balancers >= MIN_FAILURE_REPORTS && !is_contradicted
    }
}
