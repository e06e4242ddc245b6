//! Balancers that share retry budgets and warm-up quotas with this one.

use crate::warmup_quota::{QuotaGroup, WarmupQuota};
use std::collections::BTreeMap;

/// All known balancers of the system, including this one.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Hash of this balancer's name.
    own: u32,
    /// Hashes of the balancers' names, by region.
    pub by_region: BTreeMap<String, Vec<u32>>,
}

impl Fleet {
    /// Creates an empty fleet for the balancer whose name has the hash `own`.
    pub fn new(own: u32) -> Self {
        Self {
            own,
            by_region: BTreeMap::new(),
        }
    }

    /// Number of balancers in all regions, at least 1.
    pub(crate) fn total(&self) -> usize {
        self.by_region.values().map(Vec::len).sum::<usize>().max(1)
    }

    /// Number of balancers in a region, at least 1. These balancers send most of the requests to
    /// the region's upstreams.
    pub(crate) fn balancers_in(&self, region: &str) -> usize {
        self.by_region.get(region).map_or(0, Vec::len).max(1)
    }

    /// Returns this balancer's request quota for an upstream of `region` that is warming up and
    /// accepts at most `bound` requests per second from all balancers.
    pub(crate) fn warmup_quota(&self, bound: f64, upstream: &str, region: &str) -> WarmupQuota {
        if !self
            .by_region
            .values()
            .any(|balancers| balancers.contains(&self.own))
        {
            return WarmupQuota { per_second: 1 }; // the other balancers are still unknown
        }
        let local = self.by_region.get(region).map_or(&[][..], Vec::as_slice);
        if local.contains(&self.own) {
            let has_remote = self.total() > local.len();
            let total = WarmupQuota::group_total(bound, QuotaGroup::Local, has_remote);
            return WarmupQuota::of_balancer(total, upstream, self.own, local);
        }
        let other_regions = self.by_region.iter().filter(|(other, _)| *other != region);
        let remote: Vec<u32> = other_regions
            .flat_map(|(_, balancers)| balancers.iter().copied())
            .collect();
        let total = WarmupQuota::group_total(bound, QuotaGroup::Remote, !local.is_empty());
        WarmupQuota::of_balancer(total, upstream, self.own, &remote)
    }
}
