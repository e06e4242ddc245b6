//! Failure rates of attempts on connections that had been idle.

use super::FailureRate;
use crate::api::{Duration, Time};

/// Failure rates of attempts by the idle time of their connection, in steps of powers of two.
///
/// Step 0 is for new connections and for idle times below the first step. Each step from 2 on
/// begins at twice the idle time of the step before it.
#[derive(Debug, Default)]
pub(crate) struct IdleRisk {
    steps: [FailureRate; 10],
}

impl IdleRisk {
    /// The step of an idle time. Step 1 begins at `first`.
    pub fn step(&self, idle: Duration, first: Duration) -> usize {
        let step = (2 * idle / first.max(1)).checked_ilog2().unwrap_or(0) as usize;
        step.min(self.steps.len() - 1)
    }

    /// The failure rate at a step.
    pub fn get(&self, step: usize, now: Time, decay: Duration) -> f64 {
        self.steps[step].get(now, decay)
    }

    /// The highest failure rate of the steps from 1 to `step`, which leaves out new connections.
    pub fn highest_up_to(&self, step: usize, now: Time, decay: Duration) -> f64 {
        (1..=step)
            .map(|step| self.get(step, now, decay))
            .fold(0.0, f64::max)
    }

    /// Records the outcome of an attempt at a step.
    pub fn record(&mut self, step: usize, failed: bool, now: Time, gain: f64, decay: Duration) {
        self.steps[step].record(failed, now, gain, decay);
    }
}
