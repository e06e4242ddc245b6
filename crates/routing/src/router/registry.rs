//! Known upstreams of the router: registrations, snapshots, evacuated zones and removal.

use super::Router;
use crate::upstream::{Upstream, UpstreamId};
use std::collections::BTreeSet;
use std::time::Duration;
use woadstall_control::registry::{Registration, UpstreamStatus};

/// How long an upstream is kept that no snapshot contains, in milliseconds. A control node that has
/// just started receives the registrations of all upstreams within a few heartbeats.
const UNCONFIRMED_TIMEOUT_MS: u64 = 10_000;

impl Router {
    /// Adds an upstream, or updates it with a newer registration. A registration whose address is
    /// not of the form `ip:port` is ignored.
    pub fn register(&mut self, now: u64, registration: &Registration) {
        if let Some(upstream) = self.upstreams.get_mut(registration.id.as_str()) {
            upstream.update(now, registration);
            return;
        }
        let Ok(address) = registration.address.parse() else {
            return;
        };
        let region = self
            .location
            .region_by_zone
            .get(&registration.zone)
            .cloned()
            .unwrap_or_default();
        let upstream = Upstream::new(now, registration, region, address);
        let service_upstreams = self
            .upstreams_by_service
            .entry(upstream.service.clone())
            .or_default();
        service_upstreams.push(upstream.id.clone());
        self.upstreams.insert(upstream.id.clone(), upstream);
    }

    /// Applies a snapshot of all registrations. Upstreams that the snapshot does not contain are
    /// kept for a while, because the control node that sent it may have just started.
    pub fn apply_snapshot(&mut self, now: u64, registrations: &[Registration]) {
        let confirmed: BTreeSet<&str> = registrations
            .iter()
            .map(|registration| registration.id.as_str())
            .collect();
        for upstream in self
            .upstreams
            .values_mut()
            .filter(|upstream| !confirmed.contains(&*upstream.id))
        {
            upstream.unconfirmed_since.get_or_insert(now);
        }
        registrations
            .iter()
            .for_each(|registration| self.register(now, registration));
    }

    /// Removes idle upstreams that no snapshot or registration has confirmed for 10 s.
    pub fn sweep(&mut self, now: u64) {
        let is_expired = |upstream: &&Upstream| {
            let is_timed_out = |since| now > since + UNCONFIRMED_TIMEOUT_MS;
            upstream.unconfirmed_since.is_some_and(is_timed_out) && upstream.in_flight == 0
        };
        let expired: Vec<UpstreamId> = self
            .upstreams
            .values()
            .filter(is_expired)
            .map(|upstream| upstream.id.clone())
            .collect();
        for id in expired {
            if let Some(upstream) = self.upstreams.remove(&id)
                && let Some(service_upstreams) =
                    self.upstreams_by_service.get_mut(&upstream.service)
            {
                service_upstreams.retain(|other| *other != id);
            }
        }
    }

    /// Sets the zones that receive no requests. When a zone is no longer evacuated, its upstreams
    /// warm up again because their caches may be cold. `warmup` returns the warm-up time of a
    /// service.
    pub fn set_evacuated_zones(
        &mut self,
        now: u64,
        zones: &BTreeSet<String>,
        warmup: impl Fn(&str) -> Duration,
    ) {
        let former = std::mem::replace(&mut self.evacuated_zones, zones.clone());
        let returned: BTreeSet<&str> = former.difference(zones).map(String::as_str).collect();
        for upstream in self
            .upstreams
            .values_mut()
            .filter(|upstream| returned.contains(&*upstream.zone))
        {
            let warmup_ms = u64::try_from(warmup(&upstream.service).as_millis()).unwrap_or(0);
            upstream.warmup_until = upstream.warmup_until.max(now + warmup_ms);
        }
    }

    /// Whether requests may be sent to an upstream. Callers check again after they have established
    /// a connection to the upstream.
    pub fn is_usable(&self, id: &str) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| {
            matches!(
                upstream.status,
                UpstreamStatus::Ready | UpstreamStatus::TimedOut
            ) && !self.evacuated_zones.contains(&*upstream.zone)
        })
    }

    /// Number of known upstreams that have not deregistered.
    pub fn known_upstreams(&self) -> usize {
        self.upstreams
            .values()
            .filter(|upstream| upstream.status != UpstreamStatus::Deregistered)
            .count()
    }
}
