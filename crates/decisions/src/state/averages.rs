//! Exponentially weighted averages, rates and sums.

use crate::api::{Duration, LearnedLatency, Time};
use crate::tuning::BaselineGain;

/// Mean and mean deviation of a latency, in nanoseconds or as a part of another figure.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyEstimate {
    /// Exponentially weighted mean.
    pub mean: f64,
    /// Exponentially weighted mean deviation.
    pub mean_deviation: f64,
    /// Latency without load: follows the mean, faster downwards than upwards.
    pub baseline: f64,
    /// Samples recorded.
    pub calls: u32,
}

impl LatencyEstimate {
    /// Converts the estimate to the form in which it is handed over to a new process.
    pub fn to_learned(&self) -> LearnedLatency {
        LearnedLatency {
            mean: self.mean,
            mean_deviation: self.mean_deviation,
            baseline: self.baseline,
            calls: self.calls,
        }
    }

    /// Restores an estimate that the previous process has handed over.
    pub fn from_learned(learned: &LearnedLatency) -> Self {
        Self {
            mean: learned.mean,
            mean_deviation: learned.mean_deviation,
            baseline: learned.baseline,
            calls: learned.calls,
        }
    }

    /// The latency that lies `deviations` mean deviations above the mean, at least one millisecond.
    pub fn above_mean(&self, deviations: f64) -> Duration {
        (self.mean + deviations * self.mean_deviation).max(1e6) as Duration
    }

    /// Records a sample. The first samples weigh more than `gain`, so that the estimate starts at
    /// the first sample instead of 0.
    pub fn record(&mut self, sample: f64, gain: f64, baseline_gain: BaselineGain) {
        self.calls = self.calls.saturating_add(1);
        let min_gain = 1.0 / f64::from(self.calls);
        let gain = gain.max(min_gain);
        self.mean += gain * (sample - self.mean);
        self.mean_deviation += gain * ((sample - self.mean).abs() - self.mean_deviation);
        let gain_towards_mean = if self.mean < self.baseline {
            baseline_gain.down
        } else {
            baseline_gain.up
        };
        self.baseline += gain_towards_mean.max(min_gain) * (self.mean - self.baseline);
    }
}

/// Part of the recent calls that failed. It decays while no calls are recorded.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureRate {
    rate: f64,
    updated_at: Time,
}

impl FailureRate {
    /// The rate at `now`, between 0 and 1.
    pub fn get(&self, now: Time, decay: Duration) -> f64 {
        self.rate * (-(now.saturating_sub(self.updated_at) as f64) / decay as f64).exp()
    }

    /// Records the outcome of one call with the weight `gain`.
    pub fn record(&mut self, failed: bool, now: Time, gain: f64, decay: Duration) {
        let old = self.get(now, decay);
        self.rate = old + gain * (f64::from(u8::from(failed)) - old);
        self.updated_at = now;
    }
}

/// A sum whose older parts decay exponentially over a window.
#[derive(Clone, Debug, Default)]
pub(crate) struct DecayingSum {
    /// The sum at `updated_at`.
    pub sum: f64,
    /// Time of the last update.
    pub updated_at: Time,
    started_at: Time,
}

impl DecayingSum {
    /// An empty sum that begins at `now`.
    pub fn starting_at(now: Time) -> Self {
        Self {
            sum: 0.0,
            updated_at: now,
            started_at: now,
        }
    }

    /// A sum in the steady state of a constant rate.
    pub fn at_rate(per_second: f64, now: Time, window: Duration) -> Self {
        Self {
            sum: per_second * window as f64 / 1e9,
            updated_at: now,
            started_at: now.saturating_sub(8 * window),
        }
    }

    /// The sum per second. The part of the window before the start of the sum is compensated, so
    /// that the rate is not underestimated at first.
    pub fn per_second(&self, now: Time, window: Duration) -> f64 {
        let age = now.saturating_sub(self.started_at) as f64;
        let observed_part = 1.0 - (-age / window as f64).exp();
        self.get(now, window) * 1e9 / (window as f64 * observed_part.max(0.05))
    }

    /// The sum at `now`.
    pub fn get(&self, now: Time, window: Duration) -> f64 {
        self.sum * (-(now.saturating_sub(self.updated_at) as f64) / window as f64).exp()
    }

    /// Adds `amount` to the sum, which has decayed until `now`.
    pub fn add(&mut self, now: Time, amount: f64, window: Duration) {
        self.sum = self.get(now, window) + amount;
        self.updated_at = now;
    }
}
