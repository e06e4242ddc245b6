//! Retries: which are harmless, in time, and within the budget.

use crate::api::{Effect, Outcome, Time};
use crate::balancer::Balancer;
use crate::state::PendingRequest;
use crate::tuning::RETRY_DEPOSIT;

impl Balancer {
    /// Whether a request is attempted again after an attempt that ended so.
    pub(crate) fn may_retry(&mut self, request: &PendingRequest, ended: Outcome) -> bool {
        let left = request.deadline.saturating_sub(self.now) as f64;
        let is_in_time = left > self.class_latencies[request.class].mean / 2.0;
        // What never ran is bounded too: where nothing can be reached, each call would make all its
        // attempts.
        let has_attempts_left = request.attempts < request.max_attempts;
        let is_harmless = self.is_repeat_harmless(request);
        is_harmless
            && is_in_time
            && has_attempts_left
            && self.retry_budget.withdraw(retry_price(ended))
    }

    /// Whether calls of a class may be sent again though they may have run.
    pub(crate) fn is_idempotent(&self, class: usize) -> bool {
        self.settings.classes[class].effect != Effect::Unsafe
    }

    /// Whether another attempt can do no harm, save for the scope of servers that it may go to.
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

    /// When a repeat of keyed work must have begun: servers may have forgotten the key by then.
    pub(crate) fn repeat_until(&self, request: &PendingRequest) -> Time {
        match (
            self.settings.classes[request.class].effect,
            request.may_have_run,
        ) {
            (Effect::Keyed(_, window), Some(first)) => first.at.saturating_add(window),
            _ => Time::MAX,
        }
    }
}

/// What a retry takes from the budget.
///
/// What was never sent has cost no server anything: calls that wait for a stream on a connection
/// whose server drains come back all at once, and would be rejected though others have capacity. Nor
/// has a connection that did not come up: what a request earns pays for one. Many callers with few
/// calls each fill the connection tables of servers, and were rejected for that though others had
/// capacity.
fn retry_price(ended: Outcome) -> f64 {
    match ended {
        Outcome::Moot => 0.0,
        Outcome::ConnectFailed => RETRY_DEPOSIT,
        _ => 1.0,
    }
}
