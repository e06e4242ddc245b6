//! Handling of late attempts, begun responses and ended attempts.

use crate::api::{Action, AttemptEnd, Outcome, RequestId};
use crate::balancer::Balancer;
use crate::state::{AttemptDelay, InFlightChange, PendingRequest, ServerIndex, WorkedOn};
use crate::tuning::{
    ALIVE_WINDOW, BASELINE_GAIN, LATE_DEVIATIONS, OUTCOME_GAIN, TIMEOUT_DEVIATIONS,
};

impl Balancer {
    /// Closes the request of a streamed response that has begun. The attempt can no longer be late,
    /// and the client determines the pace of the remaining response, so only the time to its start
    /// is recorded as latency.
    pub(crate) fn on_response_started(&mut self, id: RequestId, attempt: u32) {
        let is_current =
            |request: &&mut PendingRequest| request.attempts == attempt + 1 && !request.closed;
        let Some(request) = self.requests.get_mut(&id).filter(is_current) else {
            return;
        };
        request.delay = AttemptDelay::Settled;
        request.closed = true;
        request.response_started = true;
        let (class, target_inverse, sent) =
            (request.class, request.target_inverse, request.last_attempt);
        self.close_pending(target_inverse, WorkedOn::Yes);
        if let Some(sent) = sent {
            self.record_latency(sent.server, class, self.now - sent.sent_at);
        }
    }

    /// Checks an attempt that has exceeded the usual latency. This detects a slow or hung server
    /// long before its calls time out: the first check records the latency of the attempt for its
    /// server, and the second check records a failure of the server.
    pub(crate) fn on_attempt_late(&mut self, token: u64) {
        let id = RequestId(token as u32);
        let is_open = |request: &&mut PendingRequest| !request.closed;
        let Some(request) = self.requests.get_mut(&id).filter(is_open) else {
            return;
        };
        let is_current = u64::from(request.attempts) == (token >> 32) + 1;
        let Some(sent) = request.last_attempt.filter(|_| is_current) else {
            return;
        };
        match request.delay {
            AttemptDelay::OnTime => {
                request.delay = AttemptDelay::Late;
                // The call is stuck at its server and must not cause load shedding of other calls.
                let pending = std::mem::take(&mut request.target_inverse);
                let class = request.class;
                self.change_pending(-pending);
                self.record_slowness(sent.server, class, self.now - sent.sent_at);
                let further_deviations = TIMEOUT_DEVIATIONS - LATE_DEVIATIONS;
                let after = self.class_latencies[class].above_mean(further_deviations);
                let after = after.max(self.min_timeout(class));
                self.actions.push(Action::SetTimer { after, token });
            }
            AttemptDelay::Late => {
                request.delay = AttemptDelay::Settled;
                let idle_step = request.idle_step;
                self.on_attempt_failed(sent.server, idle_step);
            }
            AttemptDelay::Settled => {}
        }
    }

    /// Records the end of an attempt. A request that has no final response yet is retried or given
    /// up.
    pub(crate) fn on_attempt_ended(&mut self, id: RequestId, end: AttemptEnd) {
        let is_current = |request: &PendingRequest| request.attempts == end.attempt + 1;
        if !self.requests.get(&id).is_some_and(is_current) {
            return;
        }
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let Some(sent) = request.last_attempt else {
            return;
        };
        self.count_in_flight(sent.server, InFlightChange::Ends);
        self.servers[sent.server].idle_since = self.now;
        self.close_spare_connections(sent.server);
        self.servers[sent.server].breaker.trial_in_flight &= !request.is_breaker_trial;
        self.record_end(&request, sent.server, &end);
        if request.closed {
            return;
        }
        if end.closed {
            return self.close_pending(request.target_inverse, WorkedOn::Yes);
        }
        if !end.outcome.never_ran() {
            request.may_have_run = request.may_have_run.or(request.last_attempt);
        }
        if self.may_retry(&request, end.outcome) {
            self.attempt(id, request);
        } else {
            self.give_up(id, &request);
        }
    }

    fn record_end(&mut self, request: &PendingRequest, index: ServerIndex, end: &AttemptEnd) {
        if !request.response_started {
            self.record_relative_latency(request.class, index, end);
        }
        self.record_outcome(request, index, end);
        let has_latency = matches!(end.outcome, Outcome::Ok | Outcome::Timeout);
        if has_latency && !request.response_started {
            self.record_latency(index, request.class, end.elapsed);
            if request.probed_in_flight > 0.0 {
                let latency = end.elapsed as f64 / request.probed_in_flight;
                self.latency_per_in_flight
                    .record(latency, OUTCOME_GAIN, BASELINE_GAIN);
            }
        }
    }

    fn record_outcome(&mut self, request: &PendingRequest, index: ServerIndex, end: &AttemptEnd) {
        let alive_until = self.servers[index]
            .last_response_at
            .saturating_add(ALIVE_WINDOW);
        let is_alive = self.now < alive_until;
        // A timeout below twice the mean latency is too short even for a healthy server. It is
        // attributed to the caller and does not count as a failure of the server.
        let mean = self.class_latencies[request.class].mean;
        let is_timeout_too_short = (end.elapsed as f64) < 2.0 * mean;
        match end.outcome {
            Outcome::Ok => self.record_success(request, index),
            Outcome::Timeout if request.delay == AttemptDelay::Settled || is_timeout_too_short => {}
            // Rejected calls end at once and never add to the calls in flight, so a rejecting
            // server would look idle and get all turns. It counts as overloaded for one baseline
            // latency, the time in which one of its calls can end.
            Outcome::Full => {
                let until = self.now + self.overall_latency.baseline as u64;
                self.servers[index].overloaded_until = until;
            }
            Outcome::ConnectFailed if is_alive => self.record_connection_limit(index),
            Outcome::Cancelled | Outcome::Moot | Outcome::Declined => {}
            Outcome::Error | Outcome::ConnectFailed => self.breaker_failure(index),
            Outcome::Timeout | Outcome::Reset => self.on_attempt_failed(index, request.idle_step),
        }
    }
}
