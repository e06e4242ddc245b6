//! The balancers that share budgets with this one.

use crate::budget::WarmupQuota;
use std::collections::BTreeMap;

/// The balancers that share budgets.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// This balancer, as it stands in the lists.
    own: u32,
    /// Balancers by region, by hashes of their names.
    pub by_region: BTreeMap<String, Vec<u32>>,
}

impl Fleet {
    /// A fleet as this balancer sees it, without any yet.
    pub fn new(own: u32) -> Self {
        Self {
            own,
            by_region: BTreeMap::new(),
        }
    }

    /// All balancers, one at least.
    pub(crate) fn total(&self) -> usize {
        self.by_region.values().map(Vec::len).sum::<usize>().max(1)
    }

    /// The balancers of a region.
    pub(crate) fn of(&self, region: &str) -> usize {
        self.by_region.get(region).map_or(0, Vec::len)
    }

    /// This balancer's share of a cold upstream's bound.
    pub(crate) fn cold_share(&self, bound: f64, upstream: &str, region: &str) -> WarmupQuota {
        let local = self.by_region.get(region).map_or(&[][..], Vec::as_slice);
        let is_local = local.contains(&self.own);
        if !self
            .by_region
            .values()
            .any(|balancers| balancers.contains(&self.own))
        {
            return WarmupQuota { per_second: 1 }; // nothing is known of the others yet
        }
        let has_others = self.total() > local.len();
        let total = WarmupQuota::group_total(bound, is_local, !local.is_empty(), has_others);
        let sharers: Vec<u32> = if is_local {
            local.to_vec()
        } else {
            let remote = self.by_region.iter().filter(|(other, _)| *other != region);
            remote
                .flat_map(|(_, balancers)| balancers.iter().copied())
                .collect()
        };
        WarmupQuota::of_balancer(total, upstream, self.own, &sharers)
    }
}
