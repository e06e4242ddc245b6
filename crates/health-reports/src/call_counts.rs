//! Counts of calls that decay exponentially.

use woadstall_decisions::api::Time;

/// The time constant of the decay, in nanoseconds. It is long enough that a sender of one call every
/// two seconds still counts its last failure when the next call fails, and short enough that the
/// counts soon show that a fault has ended.
pub(crate) const DECAY_NS: f64 = 5e9;

const NS_PER_SECOND: f64 = 1e9;

/// Counts of recent calls that decay exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// The number of calls that have ended or are overdue.
    pub attempts: f64,
    /// The number of calls that failed, included in `attempts`.
    pub failed: f64,
    /// The number of calls that took far longer than usual but have not failed, included in
    /// `attempts`.
    pub slow: f64,
    /// The time that the counts are decayed to, in nanoseconds.
    pub(crate) as_of: Time,
}

/// An estimated rate with a lower and an upper bound, two standard deviations away. All three values
/// are from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateEstimate {
    /// The lower bound, two standard deviations below the mean.
    pub low: f64,
    /// The mean of the estimate.
    pub mean: f64,
    /// The upper bound, two standard deviations above the mean.
    pub high: f64,
}

impl RateEstimate {
    /// Estimates a rate from `hits` in `attempts`, as a Beta distribution with Jeffreys' prior.
    fn new(hits: f64, attempts: f64) -> Self {
        let (alpha, beta) = (hits.max(0.0) + 0.5, (attempts - hits).max(0.0) + 0.5);
        let mean = alpha / (alpha + beta);
        let deviation = (mean * (1.0 - mean) / (alpha + beta + 1.0)).sqrt();
        Self {
            low: (mean - 2.0 * deviation).max(0.0),
            mean,
            high: (mean + 2.0 * deviation).min(1.0),
        }
    }
}

impl CallCounts {
    /// Creates counts that are decayed to the time `as_of`, in nanoseconds.
    pub fn new(attempts: f64, failed: f64, slow: f64, as_of: Time) -> Self {
        Self {
            attempts,
            failed,
            slow,
            as_of,
        }
    }

    /// Returns the counts decayed to a later time, in nanoseconds. An earlier time changes nothing.
    pub fn decayed_to(&self, now: Time) -> Self {
        let factor = (-(now.saturating_sub(self.as_of) as f64) / DECAY_NS).exp();
        Self {
            as_of: self.as_of.max(now),
            ..self.scaled(factor)
        }
    }

    /// Returns the counts decayed to a later time with another time constant, in nanoseconds.
    pub(crate) fn decayed_to_with(&self, now: Time, decay_ns: f64) -> Self {
        let elapsed_ns = now.saturating_sub(self.as_of) as f64;
        let factor = (-elapsed_ns / decay_ns + elapsed_ns / DECAY_NS).exp();
        self.scaled(factor).decayed_to(now)
    }

    fn scaled(&self, factor: f64) -> Self {
        let Self {
            attempts,
            failed,
            slow,
            as_of,
        } = *self;
        Self {
            attempts: attempts * factor,
            failed: failed * factor,
            slow: slow * factor,
            as_of,
        }
    }

    /// Adds a call that ends at the time `now`. A failed call does not count as slow.
    pub fn add(&mut self, now: Time, failed: bool, slow: bool) {
        let count = |is_counted: bool| f64::from(u8::from(is_counted));
        *self = self.decayed_to(now);
        self.attempts += 1.0;
        self.failed += count(failed);
        self.slow += count(slow && !failed);
    }

    /// Returns the rate of calls at the time `now`, in calls per second.
    pub fn attempts_per_second(&self, now: Time) -> f64 {
        self.decayed_to(now).attempts * NS_PER_SECOND / DECAY_NS
    }

    /// Returns the sum of both counts, decayed to the later of their times.
    pub fn merged(&self, other: &Self) -> Self {
        let now = self.as_of.max(other.as_of);
        let (a, b) = (self.decayed_to(now), other.decayed_to(now));
        Self {
            attempts: a.attempts + b.attempts,
            failed: a.failed + b.failed,
            slow: a.slow + b.slow,
            as_of: now,
        }
    }

    /// Estimates the rate of calls that fail.
    pub fn failure_rate(&self) -> RateEstimate {
        RateEstimate::new(self.failed, self.attempts)
    }

    /// Estimates the rate of calls that fail or are slow.
    pub fn degraded_rate(&self) -> RateEstimate {
        RateEstimate::new(self.failed + self.slow, self.attempts)
    }
}
