//! Decides whether a request is retried and selects the upstream of each attempt.

use super::attempt::AttemptResult;
use super::request_reports::RequestTrace;
use super::response::{ClientResponse, service_unavailable, text_response};
use super::state::Front;
use hyper::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use woadstall_control::configuration::{Route, Service};
use woadstall_inbound::lock;
use woadstall_request_reports::{AttemptOutcome, Cause};
use woadstall_routing::{Decision, Prompt, Query, Rejection, Target, UpstreamId};

/// Maximum number of attempts per request that end before the request is sent completely, for
/// example because no connection can be established.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Maximum number of upstreams that may reject a request. An upstream that rejects a request has
/// not executed it.
const MAX_REJECTIONS: u32 = 2;

/// Attempts of one request and the limits that apply to further attempts.
pub(super) struct RetryState {
    pub route: Arc<Route>,
    service: Arc<Service>,
    prompt: Prompt,
    attempted_upstreams: Vec<UpstreamId>,
    /// Number of attempts that were sent and not rejected.
    sent_count: u32,
    /// Number of attempts that ended before the request was sent completely.
    unsent_count: u32,
    /// Number of attempts that an upstream rejected.
    rejection_count: u32,
    /// Whether an upstream may have executed the request.
    may_have_executed: bool,
    /// Time until the client may retry if the request is rejected.
    retry_after: Duration,
    /// Report of the request; `None` if reports are disabled.
    trace: Option<RequestTrace>,
}

/// Reason why a request gets no further attempt.
#[derive(Debug, Error)]
pub(super) enum RetryDenied {
    /// The request has reached the limit of attempts, unsent attempts or rejections.
    #[error("attempt limit reached")]
    AttemptLimit,
    /// The retry budget of the service is exhausted.
    #[error("retry budget exhausted")]
    RetryBudget,
    /// The router has no usable upstream for the request.
    #[error("no upstream available")]
    NoUpstream,
}

impl RetryState {
    /// Creates the state of a request before its first attempt. `retry_after` is sent to the client
    /// if the request is rejected before the router has returned a retry time.
    pub fn new(
        route: Arc<Route>,
        service: Arc<Service>,
        prompt: Prompt,
        retry_after: Duration,
        trace: Option<RequestTrace>,
    ) -> Self {
        Self {
            route,
            service,
            prompt,
            attempted_upstreams: Vec::new(),
            sent_count: 0,
            unsent_count: 0,
            rejection_count: 0,
            may_have_executed: false,
            retry_after,
            trace,
        }
    }

    /// Selects the upstream for the next attempt and counts retries against the retry budget.
    ///
    /// # Errors
    ///
    /// Fails if the request may not be attempted again or if no upstream is available.
    pub fn next_target(&mut self, front: &Front) -> Result<Target, RetryDenied> {
        if self.is_limit_reached() {
            return Err(RetryDenied::AttemptLimit);
        }
        let now = front.now();
        let mut router = lock(&front.router);
        let is_retry = self.sent_count + self.rejection_count > 0;
        if is_retry && !router.try_withdraw_retry(now, &self.service.name) {
            return Err(RetryDenied::RetryBudget);
        }
        let query = Query {
            route: &self.route,
            service: &self.service,
            prompt: self.prompt,
            tried: &self.attempted_upstreams,
        };
        let candidates = self
            .trace
            .is_some()
            .then(|| router.summarize_candidates(now, &query));
        match router.choose(now, &query) {
            Decision::Forward(target) => {
                if let (Some(trace), Some(candidates)) = (&mut self.trace, candidates) {
                    trace.begin_attempt(&target, &candidates);
                }
                self.attempted_upstreams.push(target.id.clone());
                Ok(target)
            }
            Decision::Reject(Rejection {
                retry_after,
                no_usable_upstream,
            }) => {
                self.retry_after = retry_after;
                if no_usable_upstream && self.attempted_upstreams.is_empty() {
                    log::debug!("no_usable_upstream service={}", self.service.name);
                }
                Err(RetryDenied::NoUpstream)
            }
        }
    }

    fn is_limit_reached(&self) -> bool {
        self.sent_count >= self.route.max_attempts.max(1)
            || self.unsent_count >= MAX_UNSENT_ATTEMPTS
            || self.rejection_count >= MAX_REJECTIONS
    }

    /// Counts an attempt that has ended or whose streamed response has begun.
    pub fn record(&mut self, result: &AttemptResult) {
        match result {
            AttemptResult::NotSent => self.unsent_count += 1,
            AttemptResult::Rejected => self.rejection_count += 1,
            AttemptResult::Failed
            | AttemptResult::TimedOut
            | AttemptResult::Complete(..)
            | AttemptResult::Streaming(_) => {
                self.sent_count += 1;
                self.may_have_executed = true;
            }
        }
        if let Some(outcome) = outcome_of(result) {
            self.end_attempt(outcome);
        }
    }

    /// Records the outcome of the current attempt in the request report.
    pub fn end_attempt(&mut self, outcome: AttemptOutcome) {
        if let Some(trace) = &mut self.trace {
            trace.end_attempt(outcome);
        }
    }

    /// Records in the request report that response data has arrived.
    pub fn record_data(&mut self) {
        if let Some(trace) = &mut self.trace {
            trace.record_data();
        }
    }

    /// Records in the request report that a resumable stream could not be resumed.
    pub fn record_not_resumable(&mut self) {
        if let Some(trace) = &mut self.trace {
            trace.record_not_resumable();
        }
    }

    /// Finishes the request report after a complete response.
    pub fn complete(&mut self) {
        if let Some(trace) = self.trace.take() {
            trace.complete();
        }
    }

    /// Finishes the request report of a request that did not get a complete response.
    pub fn fail(&mut self, cause: Cause) {
        if let Some(trace) = self.trace.take() {
            trace.fail(cause);
        }
    }

    /// Returns the response to a request that no upstream has answered. The response contains
    /// `Retry-After` only if no upstream can have executed the request.
    pub fn into_failure(mut self) -> ClientResponse {
        if self.may_have_executed {
            self.fail(Cause::Failed);
            return text_response(StatusCode::BAD_GATEWAY, "no answer came\n");
        }
        self.fail(Cause::Rejected);
        service_unavailable(self.retry_after)
    }
}

/// Returns the outcome of an attempt for the request report; `None` for a streamed response, whose
/// outcome is not known until the stream ends.
fn outcome_of(result: &AttemptResult) -> Option<AttemptOutcome> {
    match result {
        AttemptResult::NotSent => Some(AttemptOutcome::NotSent),
        AttemptResult::Rejected => Some(AttemptOutcome::Rejected),
        AttemptResult::Failed => Some(AttemptOutcome::NoResponse),
        AttemptResult::TimedOut => Some(AttemptOutcome::TimedOut),
        AttemptResult::Complete(parts, _) if parts.status.is_server_error() => {
            Some(AttemptOutcome::ErrorResponse)
        }
        AttemptResult::Complete(..) => Some(AttemptOutcome::Completed),
        AttemptResult::Streaming(_) => None,
    }
}
