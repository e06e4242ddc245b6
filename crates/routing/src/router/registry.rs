//! Which upstreams the router knows: registrations, snapshots, evacuated zones, and removal.

use super::Router;
use crate::upstream::{Upstream, UpstreamId};
use std::collections::BTreeSet;
use std::time::Duration;
use woadstall_control::registry::{Registration, UpstreamStatus};

/// How long an upstream that no snapshot names is kept, in milliseconds: a control machine that has
/// just started learns of all upstreams within a few heartbeats.
const UNCONFIRMED_TIMEOUT_MS: u64 = 10_000;

impl Router {
    /// Adds an upstream, or updates it with a newer registration. A registration whose address is
    /// no `ip:port` is ignored.
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
        let of_service = self
            .upstreams_by_service
            .entry(upstream.service.clone())
            .or_default();
        of_service.push(upstream.id.clone());
        self.upstreams.insert(upstream.id.clone(), upstream);
    }

    /// Applies a snapshot of all registrations. Upstreams that it does not name are kept for a
    /// while, since its source may have just started.
    pub fn apply_snapshot(&mut self, now: u64, registrations: &[Registration]) {
        let named: BTreeSet<&str> = registrations
            .iter()
            .map(|registration| registration.id.as_str())
            .collect();
        for upstream in self
            .upstreams
            .values_mut()
            .filter(|upstream| !named.contains(&*upstream.id))
        {
            upstream.unconfirmed_since.get_or_insert(now);
        }
        registrations
            .iter()
            .for_each(|registration| self.register(now, registration));
    }

    /// Removes idle upstreams that no snapshot and no registration has confirmed for too long.
    pub fn sweep(&mut self, now: u64) {
        let is_expired = |upstream: &&Upstream| {
            let is_over = |since| now > since + UNCONFIRMED_TIMEOUT_MS;
            upstream.unconfirmed_since.is_some_and(is_over) && upstream.in_flight == 0
        };
        let expired: Vec<UpstreamId> = self
            .upstreams
            .values()
            .filter(is_expired)
            .map(|upstream| upstream.id.clone())
            .collect();
        for id in expired {
            if let Some(upstream) = self.upstreams.remove(&id)
                && let Some(of_service) = self.upstreams_by_service.get_mut(&upstream.service)
            {
                of_service.retain(|other| *other != id);
            }
        }
    }

    /// Sets the zones that get no requests. The upstreams of a zone that is no longer evacuated
    /// warm up again for the time that `warmup` gives for their service, as their caches may have
    /// gone cold.
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

    /// Whether requests may still go to an upstream. Checked again once a connection to it is
    /// established.
    pub fn is_usable(&self, id: &str) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| {
            matches!(
                upstream.status,
                UpstreamStatus::Ready | UpstreamStatus::TimedOut
            ) && !self.evacuated_zones.contains(&*upstream.zone)
        })
    }

    /// The number of upstreams that are known and not gone.
    pub fn known_upstreams(&self) -> usize {
        self.upstreams
            .values()
            .filter(|upstream| upstream.status != UpstreamStatus::Deregistered)
            .count()
    }
}
