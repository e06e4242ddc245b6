//! Load measurements: pending requests, responses and calls in flight.

use crate::api::Duration;
use crate::balancer::Balancer;
use crate::state::{InFlightChange, ServerIndex, WorkedOn, pools_of};
use crate::tuning::{
    MAX_RESPONSE_WINDOW_TARGETS, MIN_RESPONSE_WINDOW, MIN_SAMPLES, RATE_WINDOW, SECOND,
};

impl Balancer {
    /// Changes the pending load by `change`, where each request counts as the inverse of its
    /// latency target.
    pub(crate) fn change_pending(&mut self, change: f64) {
        self.load
            .change_pending(self.now, change, self.response_window());
    }

    /// Removes a finished request from the pending load and counts its response. Failed responses
    /// count like successful ones, since they release their server as well. Requests that no server
    /// has worked on do not count, because fast rejections would look like fast responses.
    pub(crate) fn close_pending(&mut self, target_inverse: f64, worked_on: WorkedOn) {
        self.change_pending(-target_inverse);
        let window = self.response_window();
        let count = if worked_on == WorkedOn::Yes { 1.0 } else { 0.0 };
        self.load.responses.add(self.now, count, window);
    }

    /// Expected latency of a new request as a part of its latency target, and the number of
    /// responses on which the estimate is based.
    ///
    /// The estimate is the pending requests divided by the response rate. Unlike the latency of
    /// past responses, it shows congestion while it builds up. If servers hang, no responses arrive
    /// at all, so the count is at least [`MIN_SAMPLES`] in the division; smaller counts are
    /// dominated by chance.
    pub(crate) fn expected_relative_latency(&self) -> (f64, f64) {
        let window = self.response_window();
        let responses = self.load.responses.get(self.now, window);
        let pending = self.load.pending_sum.get(self.now, window);
        (pending / responses.max(f64::from(MIN_SAMPLES)), responses)
    }

    /// Time over which responses are counted. A balancer with few calls needs a longer window for
    /// enough responses to distinguish congestion from chance.
    pub(crate) fn response_window(&self) -> Duration {
        let targets = self
            .settings
            .classes
            .iter()
            .map(|class| class.latency_target);
        let max_by_targets = targets
            .max()
            .unwrap_or(0)
            .saturating_mul(MAX_RESPONSE_WINDOW_TARGETS);
        let max_window = max_by_targets.clamp(MIN_RESPONSE_WINDOW, RATE_WINDOW);
        let rate = self.responses.per_second(self.now, RATE_WINDOW).max(1.0);
        let window = (f64::from(MIN_SAMPLES) / rate * SECOND as f64) as Duration;
        window.clamp(MIN_RESPONSE_WINDOW, max_window)
    }

    /// Updates the calls in flight of a server and its pools when an attempt begins or ends.
    pub(crate) fn count_in_flight(&mut self, index: ServerIndex, change: InFlightChange) {
        let count = |count: &mut u32| match change {
            InFlightChange::Begins => *count += 1,
            InFlightChange::Ends => *count = count.saturating_sub(1),
        };
        let server = &mut self.servers[index];
        count(&mut server.in_flight);
        if server.ready {
            let pools = pools_of(&mut self.pools, server.zone);
            pools.for_each(|pool| count(&mut pool.in_flight));
        }
    }
}
