//! Latencies of classes, of servers relative to their class, and of zones relative to the target.

use crate::api::{AttemptEnd, Duration, Outcome};
use crate::balancer::Balancer;
use crate::state::ServerIndex;
use crate::tuning::{
    BASELINE_GAIN, MIN_SAMPLES, OUTCOME_GAIN, RATE_WINDOW, RELATIVE_LATENCY_GAIN, SECOND,
    SLOWNESS_GAIN,
};

impl Balancer {
    /// Expected number of calls in flight without load, from the response rate and the baseline
    /// latency (Little's law).
    pub(crate) fn baseline_in_flight(&self) -> f64 {
        let per_second = self.responses.per_second(self.now, RATE_WINDOW);
        per_second * self.overall_latency.baseline / SECOND as f64
    }

    /// Records the latency of a call for its server, its class and all calls.
    pub(crate) fn record_latency(&mut self, index: ServerIndex, class: usize, elapsed: Duration) {
        self.record_slowness(index, class, elapsed);
        self.class_latencies[class].record(elapsed as f64, OUTCOME_GAIN, BASELINE_GAIN);
        self.overall_latency
            .record(elapsed as f64, OUTCOME_GAIN, BASELINE_GAIN);
    }

    /// Records the latency of a call for its server, relative to the mean of the call's class. A
    /// single call counts as at most four times the mean above the server's slowness.
    pub(crate) fn record_slowness(&mut self, index: ServerIndex, class: usize, elapsed: Duration) {
        let latency = &self.class_latencies[class];
        if latency.calls >= MIN_SAMPLES {
            let slowness = &mut self.servers[index].slowness;
            *slowness += SLOWNESS_GAIN * (elapsed as f64 / latency.mean - *slowness).min(4.0);
        }
    }

    /// Records the latency of an attempt for its server's zone, relative to the latency target of
    /// its class. A rejected attempt counts as at least the target.
    pub(crate) fn record_relative_latency(
        &mut self,
        class: usize,
        index: ServerIndex,
        end: &AttemptEnd,
    ) {
        let min_latency = match end.outcome {
            Outcome::Ok | Outcome::Cancelled | Outcome::Timeout => 0.0,
            Outcome::Full => 1.0,
            _ => return,
        };
        let target = self.settings.classes[class].latency_target.max(1) as f64;
        let latency = (end.elapsed as f64 / target).max(min_latency);
        let is_warm = self.warmth(index) >= 1.0;
        let zone = self.servers[index].zone;
        let (now, gain) = (self.now, RELATIVE_LATENCY_GAIN);
        self.pools[zone].record_relative_latency(latency, now, gain, BASELINE_GAIN);
        if !is_warm {
            self.adjust_slow_start_pace(zone, latency);
        }
    }
}
