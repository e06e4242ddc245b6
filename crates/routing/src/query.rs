//! What is asked of the router, and what it answers.

use crate::eligibility::SkipReason;
use crate::upstream::{Prompt, UpstreamId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use woadstall_control::configuration::{Route, Service};

/// A request that wants an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Its service.
    pub service: &'a Service,
    /// Its prompt, where it goes to a model.
    pub prompt: Prompt,
    /// Upstreams that it was sent to already.
    pub tried: &'a [UpstreamId],
}

/// An upstream to send to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The upstream.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether it is in this balancer's region.
    pub is_local_region: bool,
    /// Connections that this balancer may have to it.
    pub max_connections: usize,
    /// The tokens that it is expected to read for this request.
    pub prefill_tokens: u64,
    /// The tokens that it has to read for all requests of this balancer, this one included.
    pub prefill_backlog: u64,
    /// Requests of this balancer that it has, this one included.
    pub in_flight: u32,
}

/// A request that goes to no upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// When its client may come back.
    pub retry_after: Duration,
    /// Whether no upstream may be used at all, rather than all having their fill.
    pub no_usable_upstream: bool,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it. [`crate::Router::finish`] must follow.
    Forward(Target),
    /// Refuse it at once.
    Reject(Rejection),
}

/// How the upstreams stand for a request, for those who want to know why it went where it did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CandidateSummary {
    /// Upstreams that it may go to.
    pub candidates: usize,
    /// How many of them it passes over for which reason.
    pub skipped: BTreeMap<SkipReason, usize>,
}
