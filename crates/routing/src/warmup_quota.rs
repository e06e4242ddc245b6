//! Warm-up quotas (slow start): how many requests each balancer may send to an upstream that is
//! warming up.
//!
//! An upstream that has just started bears a bounded number of requests a second from all balancers
//! together. Each balancer computes its own quota, so that the sum stays within the bound without
//! coordination.

use std::collections::VecDeque;
use woadstall_control::shards::hash;

/// The second that the bound holds for, in milliseconds, with a margin for packets that are delayed
/// on the network and arrive together.
const WINDOW_MS: u64 = 1_150;
/// The fraction of the bound that is allocated: the rest covers balancers that are not known yet.
const ALLOCATED_FRACTION: f64 = 0.85;
/// The fraction of the allocation for balancers of the upstream's own region; the others share the
/// rest.
const LOCAL_FRACTION: f64 = 0.75;

/// A group of balancers that shares a part of an upstream's bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaGroup {
    /// The balancers of the upstream's own region.
    Local,
    /// The balancers of all other regions.
    Remote,
}

/// A balancer's quota of requests to one upstream that is warming up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupQuota {
    /// The most requests in any one second.
    pub per_second: usize,
}

impl WarmupQuota {
    /// The requests a second that all balancers of a group together may send, where all groups
    /// together may send `bound`. Where the other group has no balancers, this one gets its part as
    /// well.
    pub fn group_total(bound: f64, group: QuotaGroup, has_other_group: bool) -> usize {
        let allocated = bound * ALLOCATED_FRACTION;
        let total = match (group, has_other_group) {
            (_, false) => allocated,
            (QuotaGroup::Local, true) => allocated * LOCAL_FRACTION,
            (QuotaGroup::Remote, true) => allocated * (1.0 - LOCAL_FRACTION),
        };
        total as usize
    }

    /// The quota of balancer `own` among its group, `members`. The quotas of a group add up to
    /// `total`: where that does not divide evenly, a hash decides for each upstream who gets one
    /// request more.
    pub fn of_balancer(total: usize, upstream: &str, own: u32, members: &[u32]) -> Self {
        let order = |balancer: u32| (hash(&(upstream, balancer)), balancer);
        let own_order = order(own);
        let others = members.iter().filter(|other| **other != own);
        let rank = others
            .clone()
            .filter(|other| order(**other) < own_order)
            .count();
        let count = others.count() + 1;
        Self {
            per_second: total / count + usize::from(rank < total % count),
        }
    }

    /// Whether another request may be sent at `now` after those at the times `sends`, oldest first.
    pub fn allows(&self, now: u64, sends: &VecDeque<u64>) -> bool {
        let recent = sends
            .iter()
            .rev()
            .take_while(|sent_at| now < **sent_at + WINDOW_MS);
        recent.count() < self.per_second
    }
}
