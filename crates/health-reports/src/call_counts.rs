//! Counts of calls that decay exponentially.

use woadstall_decisions::api::Time;

/// The time constant of the decay, in nanoseconds: a sender of one call in two seconds still has
/// its last failure when the next one comes, and what has passed is forgotten soon enough to see
/// that it has.
pub(crate) const DECAY_NS: f64 = 5e9;

const NS_PER_SECOND: f64 = 1e9;

/// Decayed counts of recent calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// All calls that have ended, and those that are overdue.
    pub attempts: f64,
    /// Those that failed.
    pub failed: f64,
    /// Those that were answered far later than usual.
    pub slow: f64,
    /// The time that the counts are decayed to.
    pub(crate) at: Time,
}

/// An estimated rate with a bound of two standard deviations on either side. All three are from 0
/// to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateEstimate {
    /// The lower bound.
    pub low: f64,
    /// The mean.
    pub mean: f64,
    /// The upper bound.
    pub high: f64,
}

impl RateEstimate {
    /// The estimate from `hits` in `attempts`: a Beta distribution with Jeffreys' prior.
    fn new(hits: f64, attempts: f64) -> Self {
        let (a, b) = (hits.max(0.0) + 0.5, (attempts - hits).max(0.0) + 0.5);
        let mean = a / (a + b);
        let deviation = (mean * (1.0 - mean) / (a + b + 1.0)).sqrt();
        Self {
            low: (mean - 2.0 * deviation).max(0.0),
            mean,
            high: (mean + 2.0 * deviation).min(1.0),
        }
    }
}

impl CallCounts {
    /// Counts as they are at the time `at`.
    pub fn new(attempts: f64, failed: f64, slow: f64, at: Time) -> Self {
        Self {
            attempts,
            failed,
            slow,
            at,
        }
    }

    /// The counts at a later time.
    pub fn decayed_to(&self, now: Time) -> Self {
        let factor = (-(now.saturating_sub(self.at) as f64) / DECAY_NS).exp();
        Self {
            at: self.at.max(now),
            ..self.scaled(factor)
        }
    }

    /// The counts at a later time, where they decay with another time constant, in nanoseconds.
    pub(crate) fn decayed_to_with(&self, now: Time, decay_ns: f64) -> Self {
        let passed = now.saturating_sub(self.at) as f64;
        let factor = (-passed / decay_ns + passed / DECAY_NS).exp();
        self.scaled(factor).decayed_to(now)
    }

    fn scaled(&self, factor: f64) -> Self {
        let Self {
            attempts,
            failed,
            slow,
            at,
        } = *self;
        Self {
            attempts: attempts * factor,
            failed: failed * factor,
            slow: slow * factor,
            at,
        }
    }

    /// Adds a call. A failed call does not count as slow.
    pub fn add(&mut self, now: Time, failed: bool, slow: bool) {
        let count = |is: bool| f64::from(u8::from(is));
        *self = self.decayed_to(now);
        self.attempts += 1.0;
        self.failed += count(failed);
        self.slow += count(slow && !failed);
    }

    /// The rate of calls at a time.
    pub fn attempts_per_second(&self, now: Time) -> f64 {
        self.decayed_to(now).attempts * NS_PER_SECOND / DECAY_NS
    }

    /// The sum of both counts, at the later time of the two.
    pub fn merged(&self, other: &Self) -> Self {
        let now = self.at.max(other.at);
        let (a, b) = (self.decayed_to(now), other.decayed_to(now));
        Self {
            attempts: a.attempts + b.attempts,
            failed: a.failed + b.failed,
            slow: a.slow + b.slow,
            at: now,
        }
    }

    /// The rate of calls that fail.
    pub fn failure_rate(&self) -> RateEstimate {
        RateEstimate::new(self.failed, self.attempts)
    }

    /// The rate of calls that fail or are slow.
    pub fn degraded_rate(&self) -> RateEstimate {
        RateEstimate::new(self.failed + self.slow, self.attempts)
    }
}
