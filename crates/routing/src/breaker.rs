//! A breaker for each upstream: it opens after a few consecutive failures, for a growing, capped time.

/// Consecutive failures that open it: one may be chance, and a dead upstream costs each balancer this many requests.
const TRIP_AFTER: u32 = 3;
/// How long it stays open the first time, in milliseconds; about what a process takes to start again.
const FIRST_OPEN: u64 = 1_000;
/// The longest time that it stays open.
const LONGEST_OPEN: u64 = 8_000;
/// How long one request on trial is waited for before the next one may try.
const TRIAL: u64 = 500;

/// The state of one upstream's breaker, with times in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    trips: u32,
    open_until: u64,
}

impl CircuitBreaker {
    /// Whether requests may go there: always while closed, one at a time once it has been open.
    pub fn allows(&self, now: u64) -> bool {
        now >= self.open_until
    }

    /// Whether it is open now.
    pub fn is_open(&self, now: u64) -> bool {
        self.trips > 0 && !self.allows(now)
    }

    /// Whether it has tripped and no request has succeeded since.
    pub fn is_tripped(&self) -> bool {
        self.trips > 0
    }

    /// Whether a request has failed and none has succeeded since.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// A request goes there.
    pub fn sent(&mut self, now: u64) {
        if self.trips > 0 {
            self.open_until = self.open_until.max(now + TRIAL);
        }
    }

    /// A request has succeeded, or the upstream has answered soundly in another way.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// A request has failed; `weight` is 1 for a failure that may be chance, more for one that tells that nobody listens.
    pub fn failed(&mut self, now: u64, weight: u32) {
        self.failures = self.failures.saturating_add(weight);
        if self.failures >= TRIP_AFTER && now >= self.open_until.saturating_sub(TRIAL) {
            let open = FIRST_OPEN
                .saturating_mul(1 << self.trips.min(8))
                .min(LONGEST_OPEN);
            self.trips = self.trips.saturating_add(1);
            self.open_until = now + open;
        }
    }
}
