//! Change detection on call counts with Page's cumulative sum (CUSUM, 1954). Once a subject has
//! degraded, its earlier calls are left out, because they say nothing about its present health.

use crate::call_counts::{CallCounts, DECAY_NS};
use woadstall_decisions::api::Time;

/// The time constant with which the counts of a subject decay while it is not degraded, in
/// nanoseconds. It is short because of faults in which all zones begin to fail together: by their
/// past calls, the other zones would look healthy compared with the first one that is reported.
const HEALTHY_DECAY_NS: f64 = 1.5e9;

/// The log odds that one call adds to a cumulative sum, calculated for the lowest baseline.
struct Increments {
    hit: f64,
    miss: f64,
}

/// The increments for calls that fail (hits) and all other calls (misses).
const FAILING: Increments = Increments {
    hit: 3.2,
    miss: -0.67,
};
/// The increments for calls that fail or are slow (hits) and all other calls (misses).
const DEGRADED: Increments = Increments {
    hit: 2.1,
    miss: -0.63,
};
/// The upper limit of a cumulative sum. It ensures that a subject that was unhealthy for long does
/// not look unhealthy for long after it has recovered.
const MAX_SUM: f64 = 8.0;

/// Counts of recent calls to a subject that restart when the subject degrades.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct CusumCounts {
    /// All calls, decayed with the time constant of healthy subjects.
    all_calls: CallCounts,
    /// The calls since the subject degraded; empty while it is not degraded.
    since_change: CallCounts,
    /// The cumulative sum of the increments of [`FAILING`].
    failing_sum: f64,
    /// The cumulative sum of the increments of [`DEGRADED`].
    degraded_sum: f64,
    answered_at: Time,
}

impl CusumCounts {
    /// Adds a call that ends at the time `now`.
    pub fn add(&mut self, now: Time, failed: bool, slow: bool) {
        let decay = (-(now.saturating_sub(self.since_change.as_of) as f64) / DECAY_NS).exp();
        self.all_calls = self.all_calls.decayed_to_with(now, HEALTHY_DECAY_NS);
        self.all_calls.add(now, failed, slow);
        self.since_change.add(now, failed, slow);
        if !failed && !slow {
            self.answered_at = now;
        }
        self.failing_sum = next_sum(self.failing_sum, decay, failed, &FAILING);
        self.degraded_sum = next_sum(self.degraded_sum, decay, failed || slow, &DEGRADED);
        if !self.has_degraded() {
            self.since_change = CallCounts {
                as_of: now,
                ..CallCounts::default()
            };
        }
    }

    /// Turns a call that was counted as slow into a failed one.
    pub fn slow_to_failed(&mut self, now: Time) {
        self.all_calls = self.all_calls.decayed_to_with(now, HEALTHY_DECAY_NS);
        self.since_change = self.since_change.decayed_to(now);
        for counts in [&mut self.all_calls, &mut self.since_change] {
            counts.failed += 1.0;
            counts.slow = (counts.slow - 1.0).max(0.0);
            counts.attempts = counts.attempts.max(counts.failed + counts.slow);
        }
        self.failing_sum = (self.failing_sum + FAILING.hit).min(MAX_SUM);
    }

    /// Returns the time at which a call was last answered in time; 0 if none was.
    pub fn answered_at(&self) -> Time {
        self.answered_at
    }

    /// Returns the counts since the subject degraded, or all recent counts if it is not degraded.
    pub fn counts(&self, now: Time) -> CallCounts {
        if self.has_degraded() {
            self.since_change.decayed_to(now)
        } else {
            self.all_calls.decayed_to_with(now, HEALTHY_DECAY_NS)
        }
    }

    fn has_degraded(&self) -> bool {
        self.failing_sum != 0.0 || self.degraded_sum != 0.0
    }
}

fn next_sum(sum: f64, decay: f64, is_hit: bool, increments: &Increments) -> f64 {
    let increment = if is_hit {
        increments.hit
    } else {
        increments.miss
    };
    (sum * decay + increment).clamp(0.0, MAX_SUM)
}
