//! Warm-up quotas (slow start), which limit how many requests each balancer sends to an upstream
//! that is warming up.
//!
//! An upstream that has just started can serve a bounded number of requests per second from all
//! balancers together. Each balancer computes its own quota, so that the sum of the quotas stays
//! within the bound without coordination.

use std::collections::VecDeque;
use woadstall_control::shards::hash;

/// Length of the sliding window in which requests count against the quota, in milliseconds. The
/// bound applies to one second; the rest is a margin for packets that the network delays and then
/// delivers together.
const WINDOW_MS: u64 = 1_150;
/// Fraction of the bound that is allocated. The remainder covers balancers that are not known yet.
const ALLOCATED_FRACTION: f64 = 0.85;
/// Fraction of the allocation that the balancers of the upstream's own region share. The balancers
/// of other regions share the remainder.
const LOCAL_FRACTION: f64 = 0.75;

/// Group of balancers that shares a part of an upstream's bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaGroup {
    /// Balancers in the upstream's own region.
    Local,
    /// Balancers in all other regions.
    Remote,
}

/// Request quota of one balancer for one upstream that is warming up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupQuota {
    /// Maximum number of requests within any one second.
    pub per_second: usize,
}

impl WarmupQuota {
    /// Returns the requests per second that all balancers of `group` together may send, if the
    /// balancers of both groups together may send `bound`. A group also receives the allocation of
    /// the other group if the other group has no balancers.
    pub fn group_total(bound: f64, group: QuotaGroup, has_other_group: bool) -> usize {
        let allocated = bound * ALLOCATED_FRACTION;
        let total = match (group, has_other_group) {
            (_, false) => allocated,
            (QuotaGroup::Local, true) => allocated * LOCAL_FRACTION,
            (QuotaGroup::Remote, true) => allocated * (1.0 - LOCAL_FRACTION),
        };
        total as usize
    }

    /// Returns the quota of balancer `own` within its group `members`. The quotas of a group add up
    /// to `total`. If `total` does not divide evenly, a hash decides for each upstream which
    /// balancers may send one more request.
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

    /// Whether another request may be sent at `now`. `sends` holds the times of the previous
    /// requests, oldest first.
    pub fn allows(&self, now: u64, sends: &VecDeque<u64>) -> bool {
        let recent = sends
            .iter()
            .rev()
            .take_while(|sent_at| now < **sent_at + WINDOW_MS);
        recent.count() < self.per_second
    }
}
