//! How the regions stand for a request, and to which of them it belongs.

use crate::locality::{Locality, RegionLoad};
use crate::query::Query;
use crate::router::Router;
use crate::upstream::{Upstream, UpstreamId};
use std::collections::BTreeMap;
use woadstall_control::configuration::Route;

/// What is counted of a region's upstreams.
#[derive(Default)]
struct Count {
    upstreams: usize,
    healthy: usize,
    busy: f64,
    places: f64,
}

impl Count {
    fn into_load(self, region: &str) -> RegionLoad {
        RegionLoad {
            region: region.to_owned(),
            upstreams: self.upstreams,
            healthy: self.healthy,
            load: self.busy / self.places.max(1.0),
        }
    }
}

impl Router {
    /// The upstreams that a request may go to by the health of their regions.
    pub(crate) fn candidates(
        &mut self,
        now: u64,
        query: &Query<'_>,
        allowed: &[UpstreamId],
    ) -> Vec<UpstreamId> {
        let regions = self.region_loads(now, query, allowed);
        let home = self.home(query.route, &regions);
        match Locality::decide(&home, &regions) {
            Locality::Home => self.within(allowed, std::slice::from_ref(&home)),
            Locality::All(regions) => self.within(allowed, &regions),
            Locality::OneOf(regions) => {
                let drawn = self.random.usize(..regions.len());
                self.within(allowed, &regions[drawn..=drawn])
            }
        }
    }

    /// Takes over which zones seem to be lost.
    pub(crate) fn note_outages(&mut self, now: u64, allowed: &[UpstreamId]) {
        let mut outages = std::mem::take(&mut self.outages);
        let upstreams = allowed.iter().filter_map(|id| self.upstreams.get(id));
        let is_suspect =
            |upstream: &&Upstream| upstream.breaker.has_failed() || self.is_silent(now, upstream);
        outages.update(
            now,
            upstreams.filter(is_suspect).map(|upstream| &*upstream.zone),
        );
        self.outages = outages;
    }

    fn region_loads(&self, now: u64, query: &Query<'_>, allowed: &[UpstreamId]) -> Vec<RegionLoad> {
        let mut regions: BTreeMap<&str, Count> = BTreeMap::new();
        for upstream in allowed.iter().filter_map(|id| self.upstreams.get(id)) {
            let count = regions.entry(&upstream.region).or_default();
            count.upstreams += 1;
            count.healthy += usize::from(self.ailment(now, query, upstream).is_none());
            count.busy += f64::from(upstream.in_flight) * self.sharers(&upstream.region);
            count.places += upstream.capacity as f64;
        }
        regions
            .into_iter()
            .map(|(region, count)| count.into_load(region))
            .collect()
    }

    /// The region that a request belongs to: this balancer's, or where its route does not allow that, one drawn from the
    /// others by their upstreams.
    fn home(&mut self, route: &Route, regions: &[RegionLoad]) -> String {
        let own = &self.place.region;
        let is_allowed = route.allowed_regions.is_empty() || route.allowed_regions.contains(own);
        if is_allowed && regions.iter().any(|load| load.region == *own) {
            return own.clone();
        }
        let total: usize = regions.iter().map(|load| load.healthy.max(1)).sum();
        let mut drawn = self.random.usize(..total.max(1));
        for load in regions {
            match drawn.checked_sub(load.healthy.max(1)) {
                None => return load.region.clone(),
                Some(rest) => drawn = rest,
            }
        }
        own.clone()
    }

    fn within(&self, allowed: &[UpstreamId], regions: &[String]) -> Vec<UpstreamId> {
        let is_there = |id: &&UpstreamId| {
            self.upstreams
                .get(*id)
                .is_some_and(|upstream| regions.contains(&upstream.region))
        };
        allowed.iter().filter(is_there).cloned().collect()
    }

    /// The balancers that send to upstreams of a region.
    pub(crate) fn sharers(&self, region: &str) -> f64 {
        self.fleet.of(region).max(1) as f64
    }
}
