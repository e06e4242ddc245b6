//! Retries: whether a repeat is harmless, in time and within the retry budget.

use crate::api::{Effect, Outcome, Time};
use crate::balancer::Balancer;
use crate::state::PendingRequest;
use crate::tuning::RETRY_DEPOSIT;

impl Balancer {
    /// Whether a request is attempted again after its last attempt ended with `outcome`.
    /// A retry that is granted is taken from the retry budget.
    pub(crate) fn may_retry(&mut self, request: &PendingRequest, outcome: Outcome) -> bool {
        let time_left = request.deadline.saturating_sub(self.now) as f64;
        let is_in_time = time_left > self.class_latencies[request.class].mean / 2.0;
        // Retries of attempts that never ran are bounded as well, by the attempt limit and by the
        // cost of a failed connection. Otherwise every call would use up all its attempts when no
        // server can be reached.
        let has_attempts_left = request.attempts < request.max_attempts;
        let is_harmless = self.is_repeat_harmless(request);
        is_harmless
            && is_in_time
            && has_attempts_left
            && self.retry_budget.withdraw(retry_cost(outcome))
    }

    /// Whether calls of a class may be sent again after an attempt that may have run.
    pub(crate) fn is_idempotent(&self, class: usize) -> bool {
        self.settings.classes[class].effect != Effect::Unsafe
    }

    /// Whether another attempt at a request is harmless. The servers that a keyed request may be
    /// sent to are checked separately, when a server is picked.
    pub(crate) fn is_repeat_harmless(&self, request: &PendingRequest) -> bool {
        match (
            self.settings.classes[request.class].effect,
            request.may_have_run,
        ) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Unsafe, _) => false,
            (Effect::Keyed(..), Some(_)) => self.now < self.repeat_until(request),
        }
    }

    /// Time by which a repeat of a request must have begun. A keyed request may only be repeated
    /// within its deduplication window, after which servers may have dropped its idempotency key.
    pub(crate) fn repeat_until(&self, request: &PendingRequest) -> Time {
        match (
            self.settings.classes[request.class].effect,
            request.may_have_run,
        ) {
            (Effect::Keyed(_, window), Some(first)) => first.sent_at.saturating_add(window),
            _ => Time::MAX,
        }
    }
}

/// Cost of a retry, in units of the retry budget.
///
/// An attempt that was never sent has cost no server any work, so its retry is free: when a server
/// drains, all calls that wait for a stream on its connection come back at once and would otherwise
/// exhaust the budget and be rejected although other servers have capacity. A failed connection
/// costs no server work either, and its retry costs only the deposit of one request: many balancers
/// with few calls each can fill the connection tables of servers, and at the full cost their calls
/// were rejected although other servers had capacity.
fn retry_cost(outcome: Outcome) -> f64 {
    match outcome {
        Outcome::Moot => 0.0,
        Outcome::ConnectFailed => RETRY_DEPOSIT,
        _ => 1.0,
    }
}
