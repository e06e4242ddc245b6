//! How far a request has got with its attempts, and whether there may be another one.

use super::Front;
use super::attempt::Attempted;
use super::reply::{Reply, refusal, text};
use super::reports::Trace;
use hyper::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use woadstall_control::configuration::{Route, Service};
use woadstall_inbound::lock;
use woadstall_request_reports::{AttemptOutcome, Cause};
use woadstall_routing::{Decision, Prompt, Query, Rejection, Target, UpstreamId};

/// Attempts whose connection does not come up, at most.
const MOST_UNSENT: u32 = 4;
/// Upstreams that may turn one request away: it has run on none of them.
const MOST_REJECTIONS: u32 = 2;

/// How far a request has got with its attempts.
pub(super) struct Course {
    pub route: Arc<Route>,
    service: Arc<Service>,
    prompt: Prompt,
    tried: Vec<UpstreamId>,
    sends: u32,
    unsent: u32,
    rejections: u32,
    may_have_run: bool,
    retry_after: Duration,
    /// What is reported of it, where that is wanted.
    trace: Option<Trace>,
}

/// No further attempt is made.
pub(super) struct GivenUp;

impl Course {
    /// A request that was sent to nobody yet. Where nothing can be said of when to come back, its client is told this time.
    pub fn new(
        route: Arc<Route>,
        service: Arc<Service>,
        prompt: Prompt,
        retry_after: Duration,
        trace: Option<Trace>,
    ) -> Self {
        Self {
            route,
            service,
            prompt,
            tried: Vec::new(),
            sends: 0,
            unsent: 0,
            rejections: 0,
            may_have_run: false,
            retry_after,
            trace,
        }
    }

    /// The upstream for the next attempt.
    pub fn next(&mut self, front: &Front) -> Result<Target, GivenUp> {
        let spent = self.sends >= self.route.max_attempts.max(1)
            || self.unsent >= MOST_UNSENT
            || self.rejections >= MOST_REJECTIONS;
        if spent {
            return Err(GivenUp);
        }
        let now = front.now();
        let mut router = lock(&front.router);
        if self.sends + self.rejections > 0 && !router.try_withdraw_retry(now, &self.service.name) {
            return Err(GivenUp);
        }
        let query = Query {
            route: &self.route,
            service: &self.service,
            prompt: self.prompt,
            tried: &self.tried,
        };
        let standing = self
            .trace
            .is_some()
            .then(|| router.summarize_candidates(now, &query));
        match router.choose(now, &query) {
            Decision::Forward(target) => {
                if let (Some(trace), Some(standing)) = (&mut self.trace, standing) {
                    trace.begin_attempt(&target, &standing);
                }
                self.tried.push(target.id.clone());
                Ok(target)
            }
            Decision::Reject(Rejection {
                retry_after,
                no_usable_upstream,
            }) => {
                self.retry_after = retry_after;
                if no_usable_upstream && self.tried.is_empty() {
                    log::debug!("no upstream for service={}", self.service.name);
                }
                Err(GivenUp)
            }
        }
    }

    /// An attempt has come to its end, or to the beginning of an answer.
    pub fn attempted(&mut self, attempted: &Attempted) {
        match attempted {
            Attempted::NotSent => self.unsent += 1,
            Attempted::Rejected => self.rejections += 1,
            Attempted::Broken
            | Attempted::TimedOut
            | Attempted::Whole(..)
            | Attempted::Begun(_) => {
                self.sends += 1;
                self.may_have_run = true;
            }
        }
        let outcome = match attempted {
            Attempted::NotSent => AttemptOutcome::NotSent,
            Attempted::Rejected => AttemptOutcome::Rejected,
            Attempted::Broken => AttemptOutcome::Broken,
            Attempted::TimedOut => AttemptOutcome::TimedOut,
            Attempted::Whole(parts, _) if parts.status.is_server_error() => {
                AttemptOutcome::ErrorAnswer
            }
            Attempted::Whole(..) => AttemptOutcome::Answered,
            Attempted::Begun(_) => return, // its end is still to come
        };
        self.end_attempt(outcome);
    }

    /// The answer of the present attempt has ended.
    pub fn end_attempt(&mut self, outcome: AttemptOutcome) {
        if let Some(trace) = &mut self.trace {
            trace.end_attempt(outcome);
        }
    }

    /// A part of an answer has come.
    pub fn heard(&mut self) {
        if let Some(trace) = &mut self.trace {
            trace.heard();
        }
    }

    /// The request was answered to its end.
    pub fn answered(&mut self) {
        if let Some(trace) = self.trace.take() {
            trace.answered();
        }
    }

    /// The request has ended otherwise.
    pub fn failed(&mut self, cause: Cause) {
        if let Some(trace) = self.trace.take() {
            trace.failed(cause);
        }
    }

    /// The answer to a request that is given up: at once, and a promise only where it has not run.
    pub fn give_up(&mut self) -> Reply {
        self.failed(if self.may_have_run {
            Cause::Failed
        } else {
            Cause::Refused
        });
        if self.may_have_run {
            return text(StatusCode::BAD_GATEWAY, "no answer came\n");
        }
        refusal(self.retry_after)
    }
}
