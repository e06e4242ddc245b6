//! Lifecycle of a request: acceptance or load shedding, attempts, disconnection and final response.

use crate::api::{Action, Duration, Effect, RequestId, RequestParameters, Time};
use crate::balancer::Balancer;
use crate::state::{
    AttemptDelay, InFlightChange, PendingRequest, SentAttempt, ServerIndex, WorkedOn,
};
use crate::tuning::{
    LATE_DEVIATIONS, MIN_SAMPLES, MIN_TIMEOUT_PART, PEAK_DECAY, PROBE_TIMEOUT, RATE_WINDOW,
    TIMEOUT_DEVIATIONS,
};

impl Balancer {
    /// Accepts a new request and sends its first attempt, or rejects the request.
    pub(crate) fn on_request(&mut self, id: RequestId, parameters: RequestParameters) {
        let class = parameters.class;
        let Some(settings) = self.settings.classes.get(class) else {
            return self.actions.push(Action::Reject { id, retry_after: 0 });
        };
        let target = settings.latency_target.max(1) as f64;
        self.retry_budget.deposit();
        let request = PendingRequest {
            class,
            target_inverse: 1.0 / target,
            deadline: self.now.saturating_add(self.useful_time(&parameters)),
            max_attempts: self.settings.max_attempts.min(parameters.max_attempts),
            ..PendingRequest::default()
        };
        if self.should_shed(class, parameters.tenant) {
            self.reject_or_fail(id, &request);
        } else {
            self.change_pending(request.target_inverse);
            self.accepted.add(self.now, 1.0, RATE_WINDOW);
            self.attempt(id, request);
        }
    }

    /// Time after which a response to a request has no value any more.
    fn useful_time(&self, parameters: &RequestParameters) -> Duration {
        let class = &self.settings.classes[parameters.class];
        let stretch = class.latency_target_stretch * parameters.work.unwrap_or(0) as f64;
        let target = class
            .latency_target
            .saturating_add(stretch as Duration)
            .min(class.deadline);
        // If a response after the latency target has no value, a longer wait only occupies a slot.
        // A deeper tier that receives no deadline from its caller is limited to the target as well,
        // so that it does not go on with work for a client that has disconnected.
        let is_deadline_unknown = self.settings.tier > 0 && !self.settings.propagates_deadline;
        if class.late_value <= 0.0 || is_deadline_unknown {
            parameters.time_left.min(target)
        } else {
            parameters.time_left
        }
    }

    /// Chooses a server for the next attempt and sends the attempt, or first probes several servers
    /// for their load.
    pub(crate) fn attempt(&mut self, id: RequestId, request: PendingRequest) {
        let Some(selection) = self.choose(&request) else {
            self.no_server_found_at = self.now;
            return self.give_up(id, &request);
        };
        // Probing needs enough time before the deadline to receive the load reports and a response.
        let has_time = self.now.saturating_add(2 * PROBE_TIMEOUT) < request.deadline;
        if has_time && self.probes_for_load() {
            self.start_load_comparison(id, request, selection);
        } else {
            self.send(id, request, selection.server);
        }
    }

    /// Sends the next attempt of a request to a server.
    pub(crate) fn send(&mut self, id: RequestId, mut request: PendingRequest, index: ServerIndex) {
        let (until, begin_by) = (self.attempt_timeout(&request), self.repeat_until(&request));
        self.set_late_timer(id, &request);
        request.idle_step = self.take_connection(index, request.class);
        self.count_in_flight(index, InFlightChange::Begins);
        let is_budgeted = self.has_slow_start_budget(index);
        let (now, server) = (self.now, &mut self.servers[index]);
        server.open_connections = server.open_connections.max(server.in_flight);
        server.record_peak(now, PEAK_DECAY);
        server.slow_start_budget -= if is_budgeted { 1.0 } else { 0.0 };
        server.breaker.trial_in_flight |= server.breaker.tripped;
        self.actions.push(Action::Send {
            id,
            server: server.id,
            until,
            begin_by,
        });
        request.is_breaker_trial = server.breaker.tripped;
        request.last_attempt = Some(SentAttempt {
            server: index,
            sent_at: now,
        });
        request.attempts += 1;
        request.delay = AttemptDelay::OnTime;
        self.requests.insert(id, request);
    }

    fn set_late_timer(&mut self, id: RequestId, request: &PendingRequest) {
        let latency = &self.class_latencies[request.class];
        if latency.calls >= MIN_SAMPLES {
            let token = u64::from(request.attempts) << 32 | u64::from(id.0);
            let after = latency.above_mean(LATE_DEVIATIONS);
            self.actions.push(Action::SetTimer { after, token });
        }
    }

    /// Time at which an attempt times out. A request that may not be repeated, or has no time for a
    /// repeat, times out only at its deadline, since the attempt may still succeed.
    fn attempt_timeout(&self, request: &PendingRequest) -> Time {
        let time_left = request.deadline.saturating_sub(self.now);
        let latency = &self.class_latencies[request.class];
        let timeout = latency
            .above_mean(TIMEOUT_DEVIATIONS)
            .max(self.min_timeout(request.class));
        let has_attempts_left = request.attempts + 1 < request.max_attempts;
        let may_repeat = has_attempts_left && self.is_idempotent(request.class);
        let has_time =
            latency.calls >= MIN_SAMPLES && timeout + latency.mean as Duration <= time_left;
        if may_repeat && has_time {
            self.now + timeout
        } else {
            request.deadline
        }
    }

    /// Minimum attempt timeout of a class.
    pub(crate) fn min_timeout(&self, class: usize) -> Duration {
        (MIN_TIMEOUT_PART * self.settings.classes[class].latency_target as f64) as Duration
    }

    /// Closes a request whose client has disconnected, and cancels its attempt if the settings
    /// allow it.
    pub(crate) fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(comparison) = self.comparisons.remove(&id) {
            return self.close_pending(comparison.request.target_inverse, WorkedOn::No);
        }
        let is_open = |request: &&mut PendingRequest| !request.closed;
        let Some(request) = self.requests.get_mut(&id).filter(is_open) else {
            return;
        };
        request.closed = true;
        if self.settings.may_cancel {
            self.actions.push(Action::Cancel {
                id,
                attempt: request.attempts - 1,
            });
        }
        let target_inverse = request.target_inverse;
        self.close_pending(target_inverse, WorkedOn::Yes);
    }

    /// Ends a request that got no response from a server.
    pub(crate) fn give_up(&mut self, id: RequestId, request: &PendingRequest) {
        let worked_on = match request.may_have_run {
            Some(_) => WorkedOn::Yes,
            None => WorkedOn::No,
        };
        self.close_pending(request.target_inverse, worked_on);
        self.reject_or_fail(id, request);
    }

    fn reject_or_fail(&mut self, id: RequestId, request: &PendingRequest) {
        let is_safe = self.settings.classes[request.class].effect == Effect::Safe;
        let max_retry_after = self.settings.max_retry_after;
        let retry_after = max_retry_after / 2 + self.rng.u64(..=max_retry_after / 2);
        let is_harmless = is_safe || request.may_have_run.is_none();
        let reject = Action::Reject { id, retry_after };
        self.actions.push(if is_harmless {
            reject
        } else {
            Action::Fail(id)
        });
    }
}
