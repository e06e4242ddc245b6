//! Retry budgets (as in Finagle), which bound retries to a ratio of the requests in a sliding
//! window.
//!
//! The bound applies to all balancers together. Each balancer uses its share of the budget, so that
//! the sum stays within the bound without coordination.

/// Number of slots that a budget keeps. A window spans one slot fewer.
const SLOTS: usize = 20;
/// Fraction of the ratio that is used. The remainder is a margin, because the slots of other
/// balancers begin at different times.
const RATIO_FRACTION: f64 = 0.7;
/// Fraction of the slack that is allocated to the balancers.
const SLACK_FRACTION: f64 = 0.7;

/// One balancer's share of the retry budget of a service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries earned per request.
    ratio: f64,
    slot_ms: u64,
    /// Number of the newest slot, counted from time 0.
    newest_slot: u64,
    requests: [u32; SLOTS],
    retries: [u32; SLOTS],
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request over a sliding window of `window_ms`
    /// milliseconds.
    pub fn new(ratio: f64, window_ms: u64) -> Self {
        // A window spans one slot fewer than the budget keeps, so that any period of the length of
        // a window lies within the slots.
        let slot_ms = (window_ms / (SLOTS as u64 - 1)).max(1);
        Self {
            ratio,
            slot_ms,
            newest_slot: 0,
            requests: [0; SLOTS],
            retries: [0; SLOTS],
        }
    }

    /// Records a request for the service, which earns a fraction of a retry.
    pub fn deposit(&mut self, now: u64) {
        let slot = self.advance_to(now);
        self.requests[slot] += 1;
    }

    /// Takes one retry from the budget if one is available, and returns whether it did. `slack` is
    /// the number of retries in a window that all `balancers` together may make beyond the ratio.
    pub fn try_withdraw(&mut self, now: u64, slack: f64, balancers: usize) -> bool {
        let slot = self.advance_to(now);
        let requests: u32 = self.requests.iter().sum();
        let retries: u32 = self.retries.iter().sum();
        let own_slack = slack * SLACK_FRACTION / balancers.max(1) as f64;
        let allowed = f64::from(requests) * self.ratio * RATIO_FRACTION + own_slack;
        let is_within_budget = f64::from(retries) + 1.0 <= allowed;
        if is_within_budget {
            self.retries[slot] += 1;
        }
        is_within_budget
    }

    /// Clears the slots that have passed since the last call and returns the index of the current
    /// slot.
    fn advance_to(&mut self, now: u64) -> usize {
        let slot_number = now / self.slot_ms;
        let passed_slots = slot_number
            .saturating_sub(self.newest_slot)
            .min(SLOTS as u64);
        for step in 1..=passed_slots {
            let slot = ((self.newest_slot + step) % SLOTS as u64) as usize;
            self.requests[slot] = 0;
            self.retries[slot] = 0;
        }
        if passed_slots > 0 {
            self.newest_slot = slot_number;
        }
        (self.newest_slot % SLOTS as u64) as usize
    }
}
