//! Which upstreams a request may go to at all, and which of those it skips.

use super::Router;
use crate::query::Query;
use crate::skip_reason::SkipReason;
use crate::upstream::{Upstream, UpstreamId};
use woadstall_control::registry::UpstreamStatus;

/// Concurrent requests at an upstream over its capacity: those beyond its capacity wait in its
/// queue, which costs them less than a rejection.
const OVERCOMMIT: f64 = 1.5;
/// The fewest concurrent requests that a balancer may have at an upstream.
const MIN_CONCURRENCY: f64 = 2.0;
/// How long nothing may come from an upstream of the own region while requests are pending there,
/// in milliseconds: longer than the prefill of a long prompt beside others takes. What is sent to
/// it until it is known to be gone is lost.
const RESPONSE_TIMEOUT_LOCAL_MS: u64 = 600;
/// The same for another region: two network delays between regions more.
const RESPONSE_TIMEOUT_REMOTE_MS: u64 = 800;

impl Router {
    /// The upstreams of a service that a request may go to at all, in the order of their
    /// registration.
    pub(super) fn allowed(&self, query: &Query<'_>) -> Vec<UpstreamId> {
        let ready = self.allowed_with_status(query, UpstreamStatus::Ready);
        // Where all upstreams are unresponsive, the control plane may be what is cut off.
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

    /// Whether nothing has come from an upstream for too long while requests of this balancer are
    /// pending there.
    pub(super) fn is_unresponsive(&self, now: u64, upstream: &Upstream) -> bool {
        upstream.is_unresponsive(now, self.response_timeout(upstream))
    }

    /// How long nothing may come from an upstream with pending requests, in milliseconds.
    fn response_timeout(&self, upstream: &Upstream) -> u64 {
        if upstream.region == self.location.region {
            RESPONSE_TIMEOUT_LOCAL_MS
        } else {
            RESPONSE_TIMEOUT_REMOTE_MS
        }
    }

    /// Whether the balancers of this zone report that an upstream fails. One whose breaker has
    /// opened here is still probed on the breaker's schedule; otherwise no balancer would find that
    /// it has recovered.
    fn is_reported_failing(&self, now: u64, upstream: &Upstream) -> bool {
        !upstream.breaker.is_tripped()
            && upstream.is_reported_failing(now, self.response_timeout(upstream))
    }

    /// Why an upstream counts as unhealthy, if it does.
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

    /// Why a request skips an upstream, if it does.
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

    /// Whether a request does not skip an upstream.
    pub(super) fn is_eligible(&self, now: u64, query: &Query<'_>, id: &str) -> bool {
        self.upstreams
            .get(id)
            .is_some_and(|upstream| self.skip_reason(now, query, upstream).is_none())
    }

    /// Whether a request may go to an upstream as a last resort: all that speaks against it is its
    /// breaker, that it is unresponsive, or what others report. A zone that seems to be down gets
    /// its trials and no more: a request that waited there for a connection would be rejected late.
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

    /// Whether this balancer has fewer requests in flight than its share of an upstream's capacity
    /// (Ribbon's `activeConnectionsLimit`).
    fn is_within_concurrency_limit(&self, upstream: &Upstream) -> bool {
        let balancers = self.fleet.balancers_in(&upstream.region) as f64;
        let limit = upstream.capacity as f64 * OVERCOMMIT / balancers;
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
