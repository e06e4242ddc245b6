//! Budgets that all balancers share: each holds a part, so that the sum stays within the bound without talking.

use std::collections::VecDeque;
use woadstall_control::shards::hash;

/// A balancer's share of what a cold upstream may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupQuota {
    /// Requests in one second.
    pub per_second: usize,
}

/// The second that the bound holds for, with some room for packets that are held up on their way and arrive together.
const COLD_WINDOW: u64 = 1_150;
/// The part of the bound that is given out: the rest covers balancers that are not known yet.
const COLD_GIVEN: f64 = 0.85;
/// The part of that for balancers of the upstream's own region; the others share the rest.
const COLD_LOCAL: f64 = 0.75;

impl WarmupQuota {
    /// What all balancers of one side, the upstream's region or the other regions, may send in a second.
    pub fn group_total(bound: f64, is_local: bool, has_local: bool, has_others: bool) -> usize {
        let given = bound * COLD_GIVEN;
        let part = match (is_local, has_local, has_others) {
            (true, _, false) | (false, false, _) => given,
            (true, _, true) => given * COLD_LOCAL,
            (false, true, _) => given * (1.0 - COLD_LOCAL),
        };
        part as usize
    }

    /// The share of one balancer. The shares of all sharers add up to the total: where there are fewer requests than sharers,
    /// some get none, others for each upstream.
    pub fn of_balancer(total: usize, upstream: &str, own: u32, sharers: &[u32]) -> Self {
        let weight = |balancer: u32| hash(&(upstream, balancer));
        let mine = (weight(own), own);
        let others = sharers.iter().filter(|other| **other != own);
        let rank = others
            .clone()
            .filter(|other| (weight(**other), **other) < mine)
            .count();
        let count = others.count() + 1;
        Self {
            per_second: total / count + usize::from(rank < total % count),
        }
    }

    /// Whether one more may be sent now, after these sends (oldest first).
    pub fn allows(&self, now: u64, sends: &VecDeque<u64>) -> bool {
        sends
            .iter()
            .rev()
            .take_while(|at| now < **at + COLD_WINDOW)
            .count()
            < self.per_second
    }
}

/// Slots that a window is divided into.
const SLOTS: usize = 20;
/// The part of the ratio that is used: other balancers count their requests in other slots.
const RATIO_USED: f64 = 0.7;
/// The part of the slack that is given out.
const SLACK_GIVEN: f64 = 0.7;

/// A balancer's share of a service's budget for requests sent to a second upstream.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slot_ms: u64,
    newest: u64,
    requests: [u32; SLOTS],
    repeats: [u32; SLOTS],
}

impl RetryBudget {
    /// A budget over a sliding window in milliseconds.
    pub fn new(ratio: f64, window: u64) -> Self {
        // One slot more than the window has: any span of its length lies within the slots.
        let slot_ms = (window / (SLOTS as u64 - 1)).max(1);
        Self {
            ratio,
            slot_ms,
            newest: 0,
            requests: [0; SLOTS],
            repeats: [0; SLOTS],
        }
    }

    fn slot(&mut self, now: u64) -> usize {
        let number = now / self.slot_ms;
        let passed = number.saturating_sub(self.newest).min(SLOTS as u64);
        for step in 1..=passed {
            let slot = ((self.newest + step) % SLOTS as u64) as usize;
            (self.requests[slot], self.repeats[slot]) = (0, 0);
        }
        if passed > 0 {
            self.newest = number;
        }
        (self.newest % SLOTS as u64) as usize
    }

    /// A request has come for the service.
    pub fn deposit(&mut self, now: u64) {
        let slot = self.slot(now);
        self.requests[slot] += 1;
    }

    /// Takes one repeat, if there is room, with this many balancers sharing the slack.
    pub fn try_withdraw(&mut self, now: u64, slack: f64, balancers: usize) -> bool {
        let slot = self.slot(now);
        let requests: u32 = self.requests.iter().sum();
        let repeats: u32 = self.repeats.iter().sum();
        let own = slack * SLACK_GIVEN / balancers.max(1) as f64;
        let room = f64::from(requests) * self.ratio * RATIO_USED + own;
        let may = f64::from(repeats) + 1.0 <= room;
        if may {
            self.repeats[slot] += 1;
        }
        may
    }
}
