//! Retry budgets (as in Finagle): retries are bounded by a ratio of the requests in a sliding
//! window.
//!
//! The bound holds for all balancers together. Each uses a share of it, so that the sum stays
//! within the bound without coordination.

/// The slots that a window is divided into.
const SLOTS: usize = 20;
/// The fraction of the ratio that is used: other balancers' slots begin at other times than this
/// one's.
const RATIO_FRACTION: f64 = 0.7;
/// The fraction of the slack that is allocated to the balancers.
const SLACK_FRACTION: f64 = 0.7;

/// A balancer's share of a service's budget for retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries per request.
    ratio: f64,
    slot_ms: u64,
    /// The number of the newest slot, counted from time 0.
    newest: u64,
    requests: [u32; SLOTS],
    retries: [u32; SLOTS],
}

impl RetryBudget {
    /// A budget of `ratio` retries per request over a sliding window of `window` milliseconds.
    pub fn new(ratio: f64, window: u64) -> Self {
        // One slot more than the window has: any span of its length lies within the slots.
        let slot_ms = (window / (SLOTS as u64 - 1)).max(1);
        Self {
            ratio,
            slot_ms,
            newest: 0,
            requests: [0; SLOTS],
            retries: [0; SLOTS],
        }
    }

    /// Records a request of the service, which earns a fraction of a retry.
    pub fn deposit(&mut self, now: u64) {
        let slot = self.advance_to(now);
        self.requests[slot] += 1;
    }

    /// Takes one retry from the budget and returns whether there was one. The `slack` is the number
    /// of retries that all `balancers` together may make beyond the ratio.
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

    /// Clears the slots that have passed since the last call and returns the index of the present
    /// one.
    fn advance_to(&mut self, now: u64) -> usize {
        let number = now / self.slot_ms;
        let passed = number.saturating_sub(self.newest).min(SLOTS as u64);
        for step in 1..=passed {
            let slot = ((self.newest + step) % SLOTS as u64) as usize;
            self.requests[slot] = 0;
            self.retries[slot] = 0;
        }
        if passed > 0 {
            self.newest = number;
        }
        (self.newest % SLOTS as u64) as usize
    }
}
