//! Decides whether a request gets a further attempt, and where.

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

/// Attempts at most for which no connection can be established.
const MAX_UNSENT: u32 = 4;
/// Rejections by upstreams at most; none of them has executed the request.
const MAX_REJECTIONS: u32 = 2;

/// The attempts of one request so far.
pub(super) struct RetryState {
    pub route: Arc<Route>,
    service: Arc<Service>,
    prompt: Prompt,
    attempted: Vec<UpstreamId>,
    /// Attempts that were sent and not rejected.
    sent: u32,
    unsent: u32,
    rejected: u32,
    /// An upstream may have executed the request.
    may_have_executed: bool,
    /// When the client may retry if the request is rejected.
    retry_after: Duration,
    /// The report of the request, if it is wanted.
    trace: Option<RequestTrace>,
}

/// A request gets no further attempt.
#[derive(Debug, Error)]
pub(super) enum NoFurtherAttempt {
    /// It has had as many attempts as it may have.
    #[error("the limit of attempts is reached")]
    AttemptLimit,
    /// The retry budget of its service is used up.
    #[error("the retry budget is used up")]
    RetryBudget,
    /// The router has no upstream for it now.
    #[error("no upstream is available")]
    NoUpstream,
}

impl RetryState {
    /// The state of a request without an attempt. `retry_after` is for a client whose request is
    /// rejected before the router has said when it may retry.
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
            attempted: Vec::new(),
            sent: 0,
            unsent: 0,
            rejected: 0,
            may_have_executed: false,
            retry_after,
            trace,
        }
    }

    /// The upstream for the next attempt.
    ///
    /// # Errors
    ///
    /// There is to be no further attempt.
    pub fn next_target(&mut self, front: &Front) -> Result<Target, NoFurtherAttempt> {
        if self.is_limit_reached() {
            return Err(NoFurtherAttempt::AttemptLimit);
        }
        let now = front.now();
        let mut router = lock(&front.router);
        let is_retry = self.sent + self.rejected > 0;
        if is_retry && !router.try_withdraw_retry(now, &self.service.name) {
            return Err(NoFurtherAttempt::RetryBudget);
        }
        let query = Query {
            route: &self.route,
            service: &self.service,
            prompt: self.prompt,
            tried: &self.attempted,
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
                self.attempted.push(target.id.clone());
                Ok(target)
            }
            Decision::Reject(Rejection {
                retry_after,
                no_usable_upstream,
            }) => {
                self.retry_after = retry_after;
                if no_usable_upstream && self.attempted.is_empty() {
                    log::debug!("no_usable_upstream service={}", self.service.name);
                }
                Err(NoFurtherAttempt::NoUpstream)
            }
        }
    }

    fn is_limit_reached(&self) -> bool {
        self.sent >= self.route.max_attempts.max(1)
            || self.unsent >= MAX_UNSENT
            || self.rejected >= MAX_REJECTIONS
    }

    /// Counts an attempt that has ended, or whose streamed response has begun.
    pub fn record(&mut self, result: &AttemptResult) {
        match result {
            AttemptResult::NotSent => self.unsent += 1,
            AttemptResult::Rejected => self.rejected += 1,
            AttemptResult::Failed
            | AttemptResult::TimedOut
            | AttemptResult::Complete(..)
            | AttemptResult::Streaming(_) => {
                self.sent += 1;
                self.may_have_executed = true;
            }
        }
        if let Some(outcome) = outcome_of(result) {
            self.end_attempt(outcome);
        }
    }

    /// Reports how the current attempt has ended.
    pub fn end_attempt(&mut self, outcome: AttemptOutcome) {
        if let Some(trace) = &mut self.trace {
            trace.end_attempt(outcome);
        }
    }

    /// Reports that a part of the response has come.
    pub fn record_data(&mut self) {
        if let Some(trace) = &mut self.trace {
            trace.record_data();
        }
    }

    /// Reports that the request was answered completely.
    pub fn complete(&mut self) {
        if let Some(trace) = self.trace.take() {
            trace.complete();
        }
    }

    /// Reports that the request has ended otherwise.
    pub fn fail(&mut self, cause: Cause) {
        if let Some(trace) = self.trace.take() {
            trace.fail(cause);
        }
    }

    /// The response to a request without a response from an upstream: with `Retry-After` only if it
    /// was not executed.
    pub fn into_failure(mut self) -> ClientResponse {
        if self.may_have_executed {
            self.fail(Cause::Failed);
            return text_response(StatusCode::BAD_GATEWAY, "no answer came\n");
        }
        self.fail(Cause::Rejected);
        service_unavailable(self.retry_after)
    }
}

/// How an attempt is reported; `None` where its end is still to come.
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
