//! Region selection for a request, based on the state of the upstreams in each region.

use super::Router;
use crate::locality::{Locality, RegionLoad};
use crate::query::Query;
use crate::upstream::{Upstream, UpstreamId};
use std::collections::BTreeMap;
use woadstall_control::configuration::Route;

/// Sums over the upstreams of a region.
#[derive(Default)]
struct RegionTotals {
    upstreams: usize,
    healthy: usize,
    /// Requests in flight of all balancers, estimated from the requests of this balancer.
    in_flight: f64,
    capacity: f64,
}

impl RegionTotals {
    fn into_load(self, region: &str) -> RegionLoad {
        RegionLoad {
            region: region.to_owned(),
            upstreams: self.upstreams,
            healthy: self.healthy,
            load: self.in_flight / self.capacity.max(1.0),
        }
    }
}

impl Router {
    /// Returns the allowed upstreams in the region or regions that the request is sent to.
    pub(super) fn regional_candidates(
        &mut self,
        now: u64,
        query: &Query<'_>,
        allowed: &[UpstreamId],
    ) -> Vec<UpstreamId> {
        let loads = self.region_loads(now, query, allowed);
        let home = self.home_region(query.route, &loads);
        match Locality::decide(&home, &loads) {
            Locality::Home => self.in_regions(allowed, std::slice::from_ref(&home)),
            Locality::All(regions) => self.in_regions(allowed, &regions),
            Locality::OneOf(regions) => {
                let drawn = self.random.usize(..regions.len());
                self.in_regions(allowed, &regions[drawn..=drawn])
            }
        }
    }

    /// Updates the detected zone outages from the state of the allowed upstreams.
    pub(super) fn update_zone_outages(&mut self, now: u64, allowed: &[UpstreamId]) {
        let mut outages = std::mem::take(&mut self.zone_outages);
        let upstreams = allowed.iter().filter_map(|id| self.upstreams.get(id));
        let is_suspect = |upstream: &&Upstream| {
            upstream.breaker.has_failed() || self.is_unresponsive(now, upstream)
        };
        outages.update(
            now,
            upstreams.filter(is_suspect).map(|upstream| &*upstream.zone),
        );
        self.zone_outages = outages;
    }

    fn region_loads(&self, now: u64, query: &Query<'_>, allowed: &[UpstreamId]) -> Vec<RegionLoad> {
        let mut regions: BTreeMap<&str, RegionTotals> = BTreeMap::new();
        for upstream in allowed.iter().filter_map(|id| self.upstreams.get(id)) {
            let balancers = self.fleet.balancers_in(&upstream.region) as f64;
            let totals = regions.entry(&upstream.region).or_default();
            totals.upstreams += 1;
            totals.healthy += usize::from(self.health_problem(now, query, upstream).is_none());
            totals.in_flight += f64::from(upstream.in_flight) * balancers;
            totals.capacity += upstream.capacity as f64;
        }
        regions
            .into_iter()
            .map(|(region, totals)| totals.into_load(region))
            .collect()
    }

    /// Returns the home region of a request. This is the region of this balancer if the route
    /// allows it and it has upstreams for the request. Otherwise it is another region, drawn at
    /// random with the number of healthy upstreams as weight.
    fn home_region(&mut self, route: &Route, loads: &[RegionLoad]) -> String {
        let own = &self.location.region;
        let is_allowed = route.allowed_regions.is_empty() || route.allowed_regions.contains(own);
        if is_allowed && loads.iter().any(|load| load.region == *own) {
            return own.clone();
        }
        let weight = |load: &RegionLoad| load.healthy.max(1);
        let total: usize = loads.iter().map(weight).sum();
        let mut drawn = self.random.usize(..total.max(1));
        for load in loads {
            match drawn.checked_sub(weight(load)) {
                None => return load.region.clone(),
                Some(rest) => drawn = rest,
            }
        }
        own.clone()
    }

    fn in_regions(&self, allowed: &[UpstreamId], regions: &[String]) -> Vec<UpstreamId> {
        let is_in_regions = |id: &&UpstreamId| {
            self.upstreams
                .get(*id)
                .is_some_and(|upstream| regions.contains(&upstream.region))
        };
        allowed.iter().filter(is_in_regions).cloned().collect()
    }
}
