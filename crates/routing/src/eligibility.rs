//! Which upstreams a request may go to: those that it must not go to are left out, those that had better be passed over
//! have an [`Obstacle`].

use crate::query::Query;
use crate::router::Router;
use crate::upstream::{Upstream, UpstreamId};
use std::fmt;
use woadstall_control::registry::UpstreamStatus;

/// Requests at one upstream over its places: those beyond wait in its queue, which costs them less than a refusal.
const OVERFULL: f64 = 1.5;
/// How long an upstream may tell nothing while requests wait there, before it is passed over, in milliseconds: longer than a
/// long prompt takes to read beside others. What it is sent until it is known to be gone is lost.
const SILENT_NEAR: u64 = 600;
/// The same for another region: two ways between regions more.
const SILENT_FAR: u64 = 800;

/// Why a request passes over an upstream that it may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Obstacle {
    /// Its breaker is open.
    Tripped,
    /// It tells nothing, though requests wait there.
    Silent,
    /// Other balancers of the zone tell that it fails.
    ToldFailing,
    /// Its zone seems to be lost.
    LostZone,
    /// It has just turned a request away as full.
    Full,
    /// It has as many requests of this balancer as it may have.
    OverLimit,
    /// It is cold, and this balancer's share of what it bears is used up.
    Cold,
}

impl fmt::Display for Obstacle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Tripped => "tripped",
            Self::Silent => "silent",
            Self::ToldFailing => "told-failing",
            Self::LostZone => "lost-zone",
            Self::Full => "full",
            Self::OverLimit => "over-limit",
            Self::Cold => "cold",
        })
    }
}

impl Router {
    /// The upstreams of a service that a request may go to at all.
    pub(crate) fn allowed(&self, query: &Query<'_>) -> Vec<UpstreamId> {
        let ready = self.with_status(query, UpstreamStatus::Ready);
        // Where all have fallen silent, it may be the control plane that hears nothing.
        if ready.is_empty() {
            self.with_status(query, UpstreamStatus::TimedOut)
        } else {
            ready
        }
    }

    fn with_status(&self, query: &Query<'_>, status: UpstreamStatus) -> Vec<UpstreamId> {
        let Some(ids) = self.by_service.get(&query.service.name) else {
            return Vec::new();
        };
        let homes = &query.route.allowed_regions;
        let fits = |id: &&UpstreamId| {
            self.upstreams.get(*id).is_some_and(|upstream| {
                upstream.status == status
                    && !self.evacuated.contains(&*upstream.zone)
                    && (homes.is_empty() || homes.contains(&upstream.region))
                    && !query.tried.contains(id)
            })
        };
        ids.iter().filter(fits).cloned().collect()
    }

    /// Whether an upstream has told nothing for too long, though requests of this balancer wait there.
    pub(crate) fn is_silent(&self, now: u64, upstream: &Upstream) -> bool {
        upstream.is_silent(now, self.patience(upstream))
    }

    fn patience(&self, upstream: &Upstream) -> u64 {
        if upstream.region == self.place.region {
            SILENT_NEAR
        } else {
            SILENT_FAR
        }
    }

    /// Whether the balancers of this zone tell that an upstream fails. One whose breaker has tripped here tries it at its own
    /// times all the same, else nobody would find that it is back.
    fn is_told_failing(&self, now: u64, upstream: &Upstream) -> bool {
        !upstream.breaker.is_tripped() && upstream.is_told_failing(now, self.patience(upstream))
    }

    /// What speaks against the health of an upstream, as far as this balancer can tell.
    pub(crate) fn ailment(
        &self,
        now: u64,
        query: &Query<'_>,
        upstream: &Upstream,
    ) -> Option<Obstacle> {
        if !upstream.breaker.allows(now) {
            return Some(Obstacle::Tripped);
        }
        if self.is_silent(now, upstream) {
            return Some(Obstacle::Silent);
        }
        if self.is_told_failing(now, upstream) {
            return Some(Obstacle::ToldFailing);
        }
        let is_allowed = self
            .outages
            .allows(now, &upstream.zone, query.route.is_idempotent());
        (!is_allowed).then_some(Obstacle::LostZone)
    }

    /// Why a request passes over an upstream, if it does.
    pub(crate) fn obstacle(
        &self,
        now: u64,
        query: &Query<'_>,
        upstream: &Upstream,
    ) -> Option<Obstacle> {
        if let Some(ailment) = self.ailment(now, query, upstream) {
            return Some(ailment);
        }
        if now < upstream.full_until {
            return Some(Obstacle::Full);
        }
        if !self.is_within_limit(upstream) {
            return Some(Obstacle::OverLimit);
        }
        (!self.is_within_cold_budget(now, query, upstream)).then_some(Obstacle::Cold)
    }

    pub(crate) fn has_room(&self, now: u64, query: &Query<'_>, id: &str) -> bool {
        self.upstreams
            .get(id)
            .is_some_and(|upstream| self.obstacle(now, query, upstream).is_none())
    }

    /// Whether all that speaks against an upstream is its breaker, its silence or what others tell. A zone that seems lost gets its trials and no
    /// more: whoever waited there for a connection would be refused late.
    pub(crate) fn may_fall_back(&self, now: u64, query: &Query<'_>, id: &str) -> bool {
        let Some(upstream) = self.upstreams.get(id) else {
            return false;
        };
        let ailment = self.ailment(now, query, upstream);
        ailment.is_some_and(|ailment| ailment != Obstacle::LostZone)
            && self
                .outages
                .allows(now, &upstream.zone, query.route.is_idempotent())
            && self.is_within_limit(upstream)
            && self.is_within_cold_budget(now, query, upstream)
    }

    /// activeConnectionsLimit: whether this balancer has less than its share of an upstream's places.
    fn is_within_limit(&self, upstream: &Upstream) -> bool {
        const LEAST: f64 = 2.0;
        let share = upstream.capacity as f64 * OVERFULL / self.sharers(&upstream.region);
        f64::from(upstream.in_flight) < share.ceil().max(LEAST)
    }

    fn is_within_cold_budget(&self, now: u64, query: &Query<'_>, upstream: &Upstream) -> bool {
        if !upstream.is_cold(now) || query.service.warmup_per_s <= 0.0 {
            return true;
        }
        let bound = query.service.warmup_per_s * self.bounds.cold_over + self.bounds.cold_slack;
        self.fleet
            .cold_share(bound, &upstream.id, &upstream.region)
            .allows(now, &upstream.cold_sends)
    }
}
