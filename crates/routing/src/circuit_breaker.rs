//! Circuit breaker for one upstream, which opens after a few consecutive failures with a capped
//! exponential backoff.

/// Sum of the weights of consecutive failures at which the breaker opens. A single failure may be
/// accidental, while a failed upstream costs each balancer this many requests.
const FAILURE_THRESHOLD: u32 = 3;
/// Initial time that the breaker stays open, in milliseconds. A process takes about this long to
/// restart.
const INITIAL_OPEN_MS: u64 = 1_000;
/// Maximum time that the breaker stays open, in milliseconds.
const MAX_OPEN_MS: u64 = 8_000;
/// Interval between trial requests of a half-open breaker, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 500;

/// State of the circuit breaker of one upstream.
///
/// The breaker is closed until [`Self::record_failure`] opens it. After its open time it is
/// half-open and allows one trial request per interval, until a success closes it or a failure
/// opens it for a longer time.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    /// Sum of the weights of all failures since the last success.
    failures: u32,
    /// Number of times the breaker has opened since the last success.
    trips: u32,
    /// Time in milliseconds until which the breaker allows no request.
    open_until: u64,
}

impl CircuitBreaker {
    /// Whether the breaker allows a request. A closed breaker allows all requests, a half-open one
    /// allows one trial request at a time.
    pub fn allows(&self, now: u64) -> bool {
        now >= self.open_until
    }

    /// Whether the breaker is open.
    pub fn is_open(&self, now: u64) -> bool {
        self.trips > 0 && !self.allows(now)
    }

    /// Whether the breaker has opened since the last success, which means that it is open or
    /// half-open.
    pub fn is_tripped(&self) -> bool {
        self.trips > 0
    }

    /// Whether a request has failed since the last success.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Records that a request is sent to the upstream, which delays the next trial request of a
    /// half-open breaker.
    pub fn record_sent(&mut self, now: u64) {
        if self.trips > 0 {
            self.open_until = self.open_until.max(now + TRIAL_INTERVAL_MS);
        }
    }

    /// Closes the breaker after a success or another response that shows the upstream to be
    /// healthy.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure. The `weight` is 1 for a failure that may be accidental, and higher for
    /// one that shows that the upstream is not serving requests.
    pub fn record_failure(&mut self, now: u64, weight: u32) {
        self.failures = self.failures.saturating_add(weight);
        let was_allowed = now >= self.open_until.saturating_sub(TRIAL_INTERVAL_MS);
        if self.failures >= FAILURE_THRESHOLD && was_allowed {
            let backoff = INITIAL_OPEN_MS.saturating_mul(1 << self.trips.min(8));
            self.trips = self.trips.saturating_add(1);
            self.open_until = now + backoff.min(MAX_OPEN_MS);
        }
    }
}
