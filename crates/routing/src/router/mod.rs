//! The router: all state of one balancer's routing.
//!
//! This module holds the state and the life of a request: its decision, its activity and its end.
//! The other parts are `registry` (which upstreams there are), `eligibility` (which a request may
//! go to), `regions` (which region it goes to), `selection` (which upstream takes it) and
//! `fleet_loads` (reports to and from other balancers).

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

/// How long an upstream that has rejected a request for lack of capacity is skipped, in
/// milliseconds.
const SATURATION_BACKOFF_MS: u64 = 150;
/// The range that `Retry-After` is drawn from, in milliseconds, so that clients that are rejected
/// together do not return together.
const RETRY_AFTER_MS: Range<u64> = 200..600;
/// The same where no upstream is usable: that takes seconds to change, and a client that returns
/// too soon uses up its retries.
const RETRY_AFTER_UNUSABLE_MS: Range<u64> = 1_000..1_800;
/// The fraction of an upstream's connections that the balancers share.
const CONNECTIONS_FRACTION: f64 = 0.9;
/// The fewest connections of one balancer to an upstream.
const MIN_CONNECTIONS: f64 = 2.0;
/// The weight of a failed connection for the circuit breaker.
const CONNECT_FAILED_WEIGHT: u32 = 2;
/// The weight of a failure at an unresponsive upstream: the request has waited for long, and the
/// next one would wait for as long again.
const UNRESPONSIVE_WEIGHT: u32 = 3;

/// The limits of a deployment that routing keeps to.
#[derive(Clone, Copy, Debug)]
pub struct RoutingLimits {
    /// The most retries per request.
    pub retry_budget_ratio: f64,
    /// The sliding window of the retry budget, in milliseconds.
    pub retry_budget_window_ms: u64,
    /// Retries in a window beyond the ratio, of all balancers together.
    pub retry_budget_slack: f64,
    /// The most requests a second to an upstream that is warming up, over its service's
    /// `warmup_per_s`.
    pub warmup_factor: f64,
    /// Requests a second beyond that.
    pub warmup_slack: f64,
}

/// Where a balancer runs.
#[derive(Clone, Debug)]
pub struct Location {
    /// Its region.
    pub region: String,
    /// The region of each zone of the system.
    pub region_by_zone: BTreeMap<String, String>,
}

/// Selects upstreams for the requests of one balancer. See the crate's documentation for times and
/// randomness.
#[derive(Debug)]
pub struct Router {
    location: Location,
    limits: RoutingLimits,
    fleet: Fleet,
    evacuated_zones: BTreeSet<String>,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    upstreams_by_service: HashMap<String, Vec<UpstreamId>>,
    /// The position of the round robin, by service.
    cursors: HashMap<String, usize>,
    retry_budgets: HashMap<String, RetryBudget>,
    zone_outages: ZoneOutages,
    placements: PlacementLog,
    random: fastrand::Rng,
}

impl Router {
    /// A router without upstreams.
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

    /// Sets the balancers that share budgets and quotas.
    pub fn set_fleet(&mut self, fleet: Fleet) {
        self.fleet = fleet;
    }

    /// Records a request for a service, which its retry budget grows with.
    pub fn record_request(&mut self, now: u64, service: &str) {
        self.retry_budget(service).deposit(now);
    }

    /// Takes one retry from a service's budget and returns whether there was one.
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

    /// Summarizes the state of a request's candidates, to explain a decision. Changes nothing.
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

    /// Records that the first part of a sound response has come from an upstream: a success, or an
    /// error that is the request's own.
    pub fn record_response(&mut self, now: u64, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.breaker.record_success();
            upstream.record_activity(now);
            self.zone_outages.record_activity(now, &upstream.zone);
        }
    }

    /// Records that something has come from an upstream, which shows that it has prefilled
    /// `prefilled` tokens since.
    pub fn record_activity(&mut self, now: u64, id: &str, prefilled: u64) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_activity(now);
            self.zone_outages.record_activity(now, &upstream.zone);
            upstream.prefill_backlog = upstream.prefill_backlog.saturating_sub(prefilled);
        }
    }

    /// Records that an attempt at an upstream has ended, with `not_prefilled` of its prompt tokens
    /// still in the prefill backlog.
    pub fn finish(&mut self, now: u64, id: &str, outcome: Outcome, not_prefilled: u64) {
        let was_unresponsive = self
            .upstreams
            .get(id)
            .is_some_and(|upstream| self.is_unresponsive(now, upstream));
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.prefill_backlog = upstream.prefill_backlog.saturating_sub(not_prefilled);
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
