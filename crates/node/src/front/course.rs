//! How far a request has got with its attempts, and whether there may be another one.

use super::Front;
use super::reply::{Reply, refusal, text};
use hyper::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use woadstall_control::configuration::{Route, Service};
use woadstall_inbound::lock;
use woadstall_routing::{Decision, Prompt, Query, Refusal, Target, UpstreamId};

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
}

/// No further attempt is made.
pub(super) struct GivenUp;

impl Course {
    /// A request that was sent to nobody yet. Where nothing can be said of when to come back, its client is told this time.
    pub fn new(route: Arc<Route>, service: Arc<Service>, prompt: Prompt, retry_after: Duration) -> Self {
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
        if self.sends + self.rejections > 0 && !router.take_repeat(now, &self.service.name) {
            return Err(GivenUp);
        }
        let query =
            Query { route: &self.route, service: &self.service, prompt: self.prompt, tried: &self.tried };
        match router.choose(now, &query) {
            Decision::Send(target) => {
                self.tried.push(target.id.clone());
                Ok(target)
            }
            Decision::Refuse(Refusal { retry_after, none_usable }) => {
                self.retry_after = retry_after;
                if none_usable && self.tried.is_empty() {
                    log::debug!("no upstream for service={}", self.service.name);
                }
                Err(GivenUp)
            }
        }
    }

    /// The request went to an upstream, which may have run it.
    pub fn sent(&mut self) {
        self.sends += 1;
        self.may_have_run = true;
    }

    /// Nothing was sent.
    pub fn not_sent(&mut self) {
        self.unsent += 1;
    }

    /// The upstream has turned it away.
    pub fn rejected(&mut self) {
        self.rejections += 1;
    }

    /// The answer to a request that is given up: at once, and a promise only where it has not run.
    pub fn give_up(&self) -> Reply {
        if self.may_have_run {
            return text(StatusCode::BAD_GATEWAY, "no answer came\n");
        }
        refusal(self.retry_after)
    }
}
