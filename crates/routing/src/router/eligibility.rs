//! Eligibility of upstreams: which upstreams a request may go to, and which of these it skips.

use super::Router;
use crate::query::Query;
use crate::skip_reason::SkipReason;
use crate::upstream::{Upstream, UpstreamId};
use woadstall_control::registry::UpstreamStatus;

/// Maximum ratio of concurrent requests to the capacity of an upstream. Requests beyond the
/// capacity wait in the queue of the upstream, which delays them less than a rejection and a retry
/// would.
const OVERCOMMIT_RATIO: f64 = 1.5;
/// Minimum concurrency limit of one balancer at an upstream.
const MIN_CONCURRENCY: f64 = 2.0;
/// Response timeout for upstreams in this balancer's region, in milliseconds: how long an upstream
/// with pending requests may send no data. The timeout exceeds the time that a long prompt takes to
/// prefill alongside others. Requests sent to a failed upstream before the timeout are lost.
const RESPONSE_TIMEOUT_LOCAL_MS: u64 = 600;
/// Response timeout for upstreams in other regions, in milliseconds. It exceeds the local timeout
/// by two network delays between regions.
const RESPONSE_TIMEOUT_REMOTE_MS: u64 = 800;

impl Router {
    /// Returns the upstreams of the service that the request may go to, in the order of their
    /// registration.
    pub(super) fn allowed(&self, query: &Query<'_>) -> Vec<UpstreamId> {
        let ready = self.allowed_with_status(query, UpstreamStatus::Ready);
        // If all upstreams have timed out, the control plane itself may be disconnected, so
        // upstreams that have timed out remain usable.
        if ready.is_empty() {
            self.allowed_with_status(query, UpstreamStatus::TimedOut)
        } else {
            ready
        }
    }

    fn allowed_with_status(&self, query: &Query<'_>, status: UpstreamStatus) -> Vec<UpstreamId> {
        let Some(ids) = self.upstreams_by_service.get(&query.service.name) else {
            return Vec::new();
        };
        let regions = &query.route.allowed_regions;
        let is_allowed = |id: &&UpstreamId| {
            self.upstreams.get(*id).is_some_and(|upstream| {
                upstream.status == status
                    && !self.evacuated_zones.contains(&*upstream.zone)
                    && (regions.is_empty() || regions.contains(&upstream.region))
                    && !query.tried.contains(id)
            })
        };
        ids.iter().filter(is_allowed).cloned().collect()
    }

    /// Whether an upstream with pending requests of this balancer has sent no data for longer than
    /// its response timeout.
    pub(super) fn is_unresponsive(&self, now: u64, upstream: &Upstream) -> bool {
        upstream.is_unresponsive(now, self.response_timeout_ms(upstream))
    }

    /// Returns how long an upstream with pending requests may send no data, in milliseconds.
    fn response_timeout_ms(&self, upstream: &Upstream) -> u64 {
        if upstream.region == self.location.region {
            RESPONSE_TIMEOUT_LOCAL_MS
        } else {
            RESPONSE_TIMEOUT_REMOTE_MS
        }
    }

    /// Whether the balancers of this zone report an upstream as failing. The reports are ignored
    /// for an upstream whose circuit breaker has opened on this balancer: the breaker still allows
    /// trial requests, and without any trial no balancer would detect the recovery of the upstream.
    fn is_reported_failing(&self, now: u64, upstream: &Upstream) -> bool {
        !upstream.breaker.is_tripped()
            && upstream.is_reported_failing(now, self.response_timeout_ms(upstream))
    }

    /// Returns the reason for which an upstream is unhealthy, if any.
    pub(super) fn health_problem(
        &self,
        now: u64,
        query: &Query<'_>,
        upstream: &Upstream,
    ) -> Option<SkipReason> {
        if !upstream.breaker.allows(now) {
            return Some(SkipReason::BreakerOpen);
        }
        if self.is_unresponsive(now, upstream) {
            return Some(SkipReason::Unresponsive);
        }
        if self.is_reported_failing(now, upstream) {
            return Some(SkipReason::ReportedFailing);
        }
        let is_zone_allowed =
            self.zone_outages
                .allows(now, &upstream.zone, query.route.is_idempotent());
        (!is_zone_allowed).then_some(SkipReason::ZoneOutage)
    }

    /// Returns the reason for which a request skips an upstream, if any.
    pub(super) fn skip_reason(
        &self,
        now: u64,
        query: &Query<'_>,
        upstream: &Upstream,
    ) -> Option<SkipReason> {
        if let Some(problem) = self.health_problem(now, query, upstream) {
            return Some(problem);
        }
        if now < upstream.saturated_until {
            return Some(SkipReason::Saturated);
        }
        if !self.is_within_concurrency_limit(upstream) {
            return Some(SkipReason::OverConcurrencyLimit);
        }
        (!self.is_within_warmup_quota(now, query, upstream)).then_some(SkipReason::WarmingUp)
    }

    /// Whether a request may use an upstream without a reason to skip it.
    pub(super) fn is_eligible(&self, now: u64, query: &Query<'_>, id: &str) -> bool {
        self.upstreams
            .get(id)
            .is_some_and(|upstream| self.skip_reason(now, query, upstream).is_none())
    }

    /// Whether a request may use an unhealthy upstream as a last resort. This is allowed if the
    /// circuit breaker, a missing response or reports of other balancers are the only reasons to
    /// skip the upstream. A zone that appears to be down only receives its trial requests, because
    /// a request that waited for a connection there would be rejected late.
    pub(super) fn may_fall_back(&self, now: u64, query: &Query<'_>, id: &str) -> bool {
        let Some(upstream) = self.upstreams.get(id) else {
            return false;
        };
        let problem = self.health_problem(now, query, upstream);
        problem.is_some_and(|problem| problem != SkipReason::ZoneOutage)
            && self
                .zone_outages
                .allows(now, &upstream.zone, query.route.is_idempotent())
            && self.is_within_concurrency_limit(upstream)
            && self.is_within_warmup_quota(now, query, upstream)
    }

    /// Whether this balancer has fewer requests in flight at an upstream than its share of the
    /// upstream's capacity (Ribbon's `activeConnectionsLimit`).
    fn is_within_concurrency_limit(&self, upstream: &Upstream) -> bool {
        let balancers = self.fleet.balancers_in(&upstream.region) as f64;
        let limit = upstream.capacity as f64 * OVERCOMMIT_RATIO / balancers;
        f64::from(upstream.in_flight) < limit.ceil().max(MIN_CONCURRENCY)
    }

    fn is_within_warmup_quota(&self, now: u64, query: &Query<'_>, upstream: &Upstream) -> bool {
        if !upstream.is_warming_up(now) || query.service.warmup_per_s <= 0.0 {
            return true;
        }
        let bound =
            query.service.warmup_per_s * self.limits.warmup_factor + self.limits.warmup_slack;
        let quota = self
            .fleet
            .warmup_quota(bound, &upstream.id, &upstream.region);
        quota.allows(now, &upstream.warmup_sends)
    }
}
