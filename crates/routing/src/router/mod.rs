//! Routing state of one balancer.
//!
//! This module holds the state, and updates it when a request is forwarded, when its upstream sends
//! data and when its attempt ends. The submodules are `registry` (known upstreams), `eligibility`
//! (upstreams that a request may go to), `regions` (region of a request), `selection` (upstream of a
//! request) and `fleet_loads` (load reports to and from other balancers).

mod eligibility;
mod fleet_loads;
mod regions;
mod registry;
mod selection;

use crate::fleet::Fleet;
use crate::placement_log::PlacementLog;
use crate::query::{CandidateSummary, Decision, Query, Rejection, Target};
use crate::retry_budget::RetryBudget;
use crate::upstream::{Outcome, Upstream, UpstreamId};
use crate::zone_outage::ZoneOutages;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Range;
use std::time::Duration;

/// How long an upstream is skipped after it rejected a request for lack of capacity, in
/// milliseconds.
const SATURATION_BACKOFF_MS: u64 = 150;
/// Range that the `Retry-After` delay is drawn from, in milliseconds. The random delay keeps
/// clients that are rejected together from returning together.
const RETRY_AFTER_MS: Range<u64> = 200..600;
/// Range of the `Retry-After` delay if no upstream is usable, in milliseconds. An upstream takes
/// seconds to become usable again, and a client that returns too soon uses up its retries.
const RETRY_AFTER_UNUSABLE_MS: Range<u64> = 1_000..1_800;
/// Fraction of an upstream's connections that is divided among the balancers.
const CONNECTIONS_FRACTION: f64 = 0.9;
/// Minimum number of connections that one balancer may have to an upstream.
const MIN_CONNECTIONS: f64 = 2.0;
/// Circuit-breaker weight of a failed connection attempt.
const CONNECT_FAILED_WEIGHT: u32 = 2;
/// Circuit-breaker weight of a failure at an unresponsive upstream. The failed request has already
/// waited for a long time, and the next request would wait as long.
const UNRESPONSIVE_WEIGHT: u32 = 3;

/// Limits that routing enforces in a deployment.
#[derive(Clone, Copy, Debug)]
pub struct RoutingLimits {
    /// Maximum number of retries per request, as a ratio over the requests of the window.
    pub retry_budget_ratio: f64,
    /// Length of the sliding window of the retry budget, in milliseconds.
    pub retry_budget_window_ms: u64,
    /// Number of retries in a window that all balancers together may make beyond the ratio.
    pub retry_budget_slack: f64,
    /// Factor of the service's `warmup_per_s` in the maximum number of requests per second to an
    /// upstream that is warming up.
    pub warmup_factor: f64,
    /// Requests per second that are added to the product of `warmup_factor` and `warmup_per_s`.
    pub warmup_slack: f64,
}

/// Location of a balancer.
#[derive(Clone, Debug)]
pub struct Location {
    /// Region that the balancer runs in.
    pub region: String,
    /// Region of each zone of the system, by zone.
    pub region_by_zone: BTreeMap<String, String>,
}

/// Selects upstreams for the requests of one balancer.
///
/// The crate documentation describes the clock and the source of randomness.
#[derive(Debug)]
pub struct Router {
    location: Location,
    limits: RoutingLimits,
    fleet: Fleet,
    evacuated_zones: BTreeSet<String>,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    upstreams_by_service: HashMap<String, Vec<UpstreamId>>,
    /// Next round-robin position, by service.
    cursors: HashMap<String, usize>,
    retry_budgets: HashMap<String, RetryBudget>,
    zone_outages: ZoneOutages,
    placements: PlacementLog,
    random: fastrand::Rng,
}

impl Router {
    /// Creates a router without upstreams. `seed` seeds its random numbers.
    pub fn new(location: Location, limits: RoutingLimits, seed: u64) -> Self {
        Self {
            location,
            limits,
            fleet: Fleet::default(),
            evacuated_zones: BTreeSet::new(),
            upstreams: BTreeMap::new(),
            upstreams_by_service: HashMap::new(),
            cursors: HashMap::new(),
            retry_budgets: HashMap::new(),
            zone_outages: ZoneOutages::default(),
            placements: PlacementLog::default(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Sets the balancers that share retry budgets and warm-up quotas.
    pub fn set_fleet(&mut self, fleet: Fleet) {
        self.fleet = fleet;
    }

    /// Records a request for a service, which adds to the retry budget of the service.
    pub fn record_request(&mut self, now: u64, service: &str) {
        self.retry_budget(service).deposit(now);
    }

    /// Takes one retry from the budget of a service if one is available, and returns whether it
    /// did.
    pub fn try_withdraw_retry(&mut self, now: u64, service: &str) -> bool {
        let (slack, balancers) = (self.limits.retry_budget_slack, self.fleet.total());
        self.retry_budget(service)
            .try_withdraw(now, slack, balancers)
    }

    fn retry_budget(&mut self, service: &str) -> &mut RetryBudget {
        let (ratio, window) = (
            self.limits.retry_budget_ratio,
            self.limits.retry_budget_window_ms,
        );
        self.retry_budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(ratio, window))
    }

    /// Selects an upstream for a request, or rejects it.
    pub fn choose(&mut self, now: u64, query: &Query<'_>) -> Decision {
        let allowed = self.allowed(query);
        if allowed.is_empty() {
            return self.reject(true);
        }
        self.update_zone_outages(now, &allowed);
        let candidates = self.regional_candidates(now, query, &allowed);
        let chosen = self
            .pick(now, query, &candidates)
            .or_else(|| self.pick(now, query, &allowed));
        match chosen {
            Some(id) => self.forward(now, query, &id),
            None => {
                let is_zone_down = |id: &UpstreamId| {
                    self.upstreams
                        .get(id)
                        .is_some_and(|upstream| self.zone_outages.is_down(&upstream.zone))
                };
                self.reject(allowed.iter().all(is_zone_down))
            }
        }
    }

    /// Summarizes the state of a request's candidate upstreams, to explain a decision. Does not
    /// change any state.
    pub fn summarize_candidates(&self, now: u64, query: &Query<'_>) -> CandidateSummary {
        let allowed = self.allowed(query);
        let mut summary = CandidateSummary {
            candidates: allowed.len(),
            ..CandidateSummary::default()
        };
        for upstream in allowed.iter().filter_map(|id| self.upstreams.get(id)) {
            if let Some(reason) = self.skip_reason(now, query, upstream) {
                *summary.skipped.entry(reason).or_default() += 1;
            }
        }
        summary
    }

    /// Records the first part of a valid response from an upstream: a success, or an error that the
    /// request itself caused.
    pub fn record_response(&mut self, now: u64, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.breaker.record_success();
            upstream.record_activity(now);
            self.zone_outages.record_activity(now, &upstream.zone);
        }
    }

    /// Records data from an upstream, which shows that the upstream has prefilled
    /// `prefilled_tokens` more tokens.
    pub fn record_activity(&mut self, now: u64, id: &str, prefilled_tokens: u64) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_activity(now);
            self.zone_outages.record_activity(now, &upstream.zone);
            upstream.prefill_backlog = upstream.prefill_backlog.saturating_sub(prefilled_tokens);
        }
    }

    /// Records the end of an attempt at an upstream. `unfinished_prefill_tokens` of its prompt
    /// tokens are still in the prefill backlog and are removed from it.
    pub fn finish(&mut self, now: u64, id: &str, outcome: Outcome, unfinished_prefill_tokens: u64) {
        let was_unresponsive = self
            .upstreams
            .get(id)
            .is_some_and(|upstream| self.is_unresponsive(now, upstream));
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.prefill_backlog = upstream
            .prefill_backlog
            .saturating_sub(unfinished_prefill_tokens);
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered => {}
            Outcome::Rejected => upstream.saturated_until = now + SATURATION_BACKOFF_MS,
            Outcome::ConnectFailed => upstream.breaker.record_failure(now, CONNECT_FAILED_WEIGHT),
            Outcome::ConnectionError | Outcome::TimedOut | Outcome::Cancelled
                if was_unresponsive =>
            {
                upstream.breaker.record_failure(now, UNRESPONSIVE_WEIGHT);
            }
            Outcome::ConnectionError | Outcome::UpstreamError | Outcome::TimedOut => {
                upstream.breaker.record_failure(now, 1);
            }
            Outcome::Cancelled => {}
        }
    }

    fn forward(&mut self, now: u64, query: &Query<'_>, id: &UpstreamId) -> Decision {
        let balancers = self.fleet.total() as f64;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return self.reject(true);
        };
        let prefill_tokens = upstream.record_sent(now, &query.prompt);
        self.zone_outages.record_sent(now, &upstream.zone);
        let connections = query.service.max_connections as f64 * CONNECTIONS_FRACTION / balancers;
        let target = Target {
            id: upstream.id.clone(),
            address: upstream.address,
            zone: upstream.zone.clone(),
            is_local_region: upstream.region == self.location.region,
            max_connections: connections.max(MIN_CONNECTIONS) as usize,
            prefill_tokens,
            prefill_backlog: upstream.prefill_backlog,
            in_flight: upstream.in_flight,
        };
        let cache_capacity = query.service.engine.map(|engine| engine.kv_capacity_tokens);
        self.record_prompt(now, id, &query.prompt, cache_capacity);
        Decision::Forward(target)
    }

    fn reject(&mut self, no_usable_upstream: bool) -> Decision {
        let range = if no_usable_upstream {
            RETRY_AFTER_UNUSABLE_MS
        } else {
            RETRY_AFTER_MS
        };
        let retry_after = Duration::from_millis(self.random.u64(range));
        Decision::Reject(Rejection {
            retry_after,
            no_usable_upstream,
        })
    }
}
