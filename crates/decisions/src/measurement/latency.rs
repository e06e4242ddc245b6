//! Latencies: of classes, of servers against their class, of zones against the target.

use crate::api::{AttemptEnd, Duration, Outcome};
use crate::balancer::Balancer;
use crate::state::ServerIndex;
use crate::tuning::{
    BASELINE_GAIN, MIN_SAMPLES, OUTCOME_GAIN, RATE_WINDOW, RELATIVE_LATENCY_GAIN, SECOND,
    SLOWNESS_GAIN,
};

impl Balancer {
    /// Calls in flight without load, by the rate of responses and their baseline (Little's law).
    pub(crate) fn baseline_in_flight(&self) -> f64 {
        let per_second = self.responses.per_second(self.now, RATE_WINDOW);
        per_second * self.overall_latency.baseline / SECOND as f64
    }

    /// Records the latency of a call, in nanoseconds.
    pub(crate) fn record_latency(&mut self, index: ServerIndex, class: usize, took: Duration) {
        self.record_slowness(index, class, took);
        self.class_latencies[class].record(took as f64, OUTCOME_GAIN, BASELINE_GAIN);
        self.overall_latency
            .record(took as f64, OUTCOME_GAIN, BASELINE_GAIN);
    }

    /// Records the latency of a call against the mean of its class.
    pub(crate) fn record_slowness(&mut self, index: ServerIndex, class: usize, took: Duration) {
        let latency = &self.class_latencies[class];
        if latency.calls >= MIN_SAMPLES {
            let slowness = &mut self.servers[index].slowness;
            *slowness += SLOWNESS_GAIN * (took as f64 / latency.mean - *slowness).min(4.0);
        }
    }

    /// Records the latency of an attempt against its target, for its server's zone.
    pub(crate) fn record_relative_latency(
        &mut self,
        class: usize,
        index: ServerIndex,
        end: &AttemptEnd,
    ) {
        let least = match end.outcome {
            Outcome::Ok | Outcome::Cancelled | Outcome::Timeout => 0.0,
            Outcome::Full => 1.0,
            _ => return,
        };
        let target = self.settings.classes[class].latency_target.max(1) as f64;
        let latency = (end.elapsed as f64 / target).max(least);
        let is_warm = self.warmth(index) >= 1.0;
        let zone = self.servers[index].zone;
        let (now, gain) = (self.now, RELATIVE_LATENCY_GAIN);
        self.pools[zone].record_relative_latency(latency, now, gain, BASELINE_GAIN);
        if !is_warm {
            self.adjust_slow_start_pace(zone, latency);
        }
    }
}
