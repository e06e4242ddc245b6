//! A circuit breaker for one upstream: it opens after a few consecutive failures, with a capped
//! exponential backoff.

/// The weighted consecutive failures that open it: one failure may be chance, and a dead upstream
/// costs each balancer this many requests.
const FAILURE_THRESHOLD: u32 = 3;
/// How long it stays open the first time, in milliseconds; about the time that a process takes to
/// restart.
const INITIAL_OPEN_MS: u64 = 1_000;
/// The longest time that it stays open, in milliseconds.
const MAX_OPEN_MS: u64 = 8_000;
/// The time between trial requests of a half-open breaker, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 500;

/// The state of one upstream's circuit breaker.
///
/// It is closed until [`Self::record_failure`] opens it. When its open time has passed it is
/// half-open: one trial request is let through at a time, until a success closes it or a failure
/// opens it for longer.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    /// Weighted failures since the last success.
    failures: u32,
    /// How often it has opened since the last success.
    trips: u32,
    /// Until when no request is let through, in milliseconds.
    open_until: u64,
}

impl CircuitBreaker {
    /// Whether it lets a request through: always while closed, one trial at a time while half-open.
    pub fn allows(&self, now: u64) -> bool {
        now >= self.open_until
    }

    /// Whether it is open at the moment.
    pub fn is_open(&self, now: u64) -> bool {
        self.trips > 0 && !self.allows(now)
    }

    /// Whether it has opened since the last success; it is open or half-open then.
    pub fn is_tripped(&self) -> bool {
        self.trips > 0
    }

    /// Whether a request has failed since the last success.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Records that a request is sent to the upstream.
    pub fn record_sent(&mut self, now: u64) {
        if self.trips > 0 {
            self.open_until = self.open_until.max(now + TRIAL_INTERVAL_MS);
        }
    }

    /// Records a success, or another response that shows the upstream healthy, and closes the
    /// breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure. The `weight` is 1 for a failure that may be chance, more for one that
    /// shows that nothing listens there.
    pub fn record_failure(&mut self, now: u64, weight: u32) {
        self.failures = self.failures.saturating_add(weight);
        let was_let_through = now >= self.open_until.saturating_sub(TRIAL_INTERVAL_MS);
        if self.failures >= FAILURE_THRESHOLD && was_let_through {
            let backoff = INITIAL_OPEN_MS.saturating_mul(1 << self.trips.min(8));
            self.trips = self.trips.saturating_add(1);
            self.open_until = now + backoff.min(MAX_OPEN_MS);
        }
    }
}
