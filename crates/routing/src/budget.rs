//! Budgets that all balancers share: each holds a part, so that the sum stays within the bound without talking.

use std::collections::VecDeque;

/// A balancer's share of what a cold upstream may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    /// Requests in one second; may be under 1.
    pub per_second: f64,
}

/// The second that the bound holds for, with some room for packets that are held up on their way and arrive together.
const COLD_WINDOW: u64 = 1_150;
/// The part of the bound that is given out: the rest covers balancers that are not known yet.
const COLD_GIVEN: f64 = 0.85;
/// The part of that for balancers of the upstream's own region; the others share the rest.
const COLD_LOCAL: f64 = 0.75;

impl ColdShare {
    /// The share of one balancer in a bound on the requests of any second.
    pub fn new(bound: f64, is_local: bool, local_balancers: u32, remote_balancers: u32) -> Self {
        let given = bound * COLD_GIVEN;
        let (local, remote) = (f64::from(local_balancers.max(1)), f64::from(remote_balancers.max(1)));
        let per_second = match (is_local, remote_balancers) {
            (true, 0) => given / local,
            (true, _) => given * COLD_LOCAL / local,
            (false, _) => given * (1.0 - COLD_LOCAL) / remote,
        };
        Self { per_second }
    }

    /// Whether one more may be sent now, after these sends (oldest first).
    pub fn allows(&self, now: u64, sends: &VecDeque<u64>) -> bool {
        if self.per_second >= 1.0 {
            let lately = sends.iter().rev().take_while(|at| now < **at + COLD_WINDOW).count();
            return (lately as f64) < self.per_second.floor();
        }
        if self.per_second <= 0.0 {
            return false;
        }
        let pause = (COLD_WINDOW as f64 / self.per_second) as u64;
        sends.back().is_none_or(|last| now >= last + pause)
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
        Self { ratio, slot_ms, newest: 0, requests: [0; SLOTS], repeats: [0; SLOTS] }
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
    pub fn request(&mut self, now: u64) {
        let slot = self.slot(now);
        self.requests[slot] += 1;
    }

    /// Takes one repeat, if there is room, with this many balancers sharing the slack.
    pub fn take(&mut self, now: u64, slack: f64, balancers: u32) -> bool {
        let slot = self.slot(now);
        let requests: u32 = self.requests.iter().sum();
        let repeats: u32 = self.repeats.iter().sum();
        let own = slack * SLACK_GIVEN / f64::from(balancers.max(1));
        let room = f64::from(requests) * self.ratio * RATIO_USED + own;
        let may = f64::from(repeats) + 1.0 <= room;
        if may {
            self.repeats[slot] += 1;
        }
        may
    }
}
