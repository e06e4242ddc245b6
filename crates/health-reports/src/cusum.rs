//! Change detection on call counts (Page's cumulative sum, 1954): what a subject did before it
//! degraded says nothing of how it does now.

use crate::call_counts::{CallCounts, DECAY_NS};
use woadstall_decisions::api::Time;

/// The time constant of the decay of counts while nothing has degraded, in nanoseconds: where all
/// zones begin to fail together, each would look healthy by its past beside the first that is
/// reported.
const HEALTHY_DECAY_NS: f64 = 1.5e9;

/// The log odds that one call adds to a cumulative sum, by the lowest baseline.
struct Increments {
    hit: f64,
    miss: f64,
}

/// For calls that fail, and for calls that fail or are slow.
const FAILING: Increments = Increments {
    hit: 3.2,
    miss: -0.67,
};
const DEGRADED: Increments = Increments {
    hit: 2.1,
    miss: -0.63,
};
/// The most that a cumulative sum grows to: a subject that was unhealthy for long must not look so
/// for long afterwards.
const MAX_SUM: f64 = 8.0;

/// Counts of recent calls, restarted where they turn bad.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct CusumCounts {
    all: CallCounts,
    /// The calls since the subject degraded.
    since_change: CallCounts,
    failing_sum: f64,
    degraded_sum: f64,
    answered_at: Time,
}

impl CusumCounts {
    /// Adds a call.
    pub fn add(&mut self, now: Time, failed: bool, slow: bool) {
        let decay = (-(now.saturating_sub(self.since_change.at) as f64) / DECAY_NS).exp();
        self.all = self.all.decayed_to_with(now, HEALTHY_DECAY_NS);
        self.all.add(now, failed, slow);
        self.since_change.add(now, failed, slow);
        if !failed && !slow {
            self.answered_at = now;
        }
        self.failing_sum = next_sum(self.failing_sum, decay, failed, &FAILING);
        self.degraded_sum = next_sum(self.degraded_sum, decay, failed || slow, &DEGRADED);
        if !self.has_degraded() {
            self.since_change = CallCounts {
                at: now,
                ..CallCounts::default()
            };
        }
    }

    /// Counts a call that was counted as slow as failed instead.
    pub fn slow_to_failed(&mut self, now: Time) {
        self.all = self.all.decayed_to_with(now, HEALTHY_DECAY_NS);
        self.since_change = self.since_change.decayed_to(now);
        for counts in [&mut self.all, &mut self.since_change] {
            counts.failed += 1.0;
            counts.slow = (counts.slow - 1.0).max(0.0);
            counts.attempts = counts.attempts.max(counts.failed + counts.slow);
        }
        self.failing_sum = (self.failing_sum + FAILING.hit).min(MAX_SUM);
    }

    /// When a call was last answered in time; 0 for never.
    pub fn answered_at(&self) -> Time {
        self.answered_at
    }

    /// The counts since the subject degraded, if it did; otherwise all recent ones.
    pub fn counts(&self, now: Time) -> CallCounts {
        if self.has_degraded() {
            self.since_change.decayed_to(now)
        } else {
            self.all.decayed_to_with(now, HEALTHY_DECAY_NS)
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
