//! The input of a routing decision and its result.

use crate::skip_reason::SkipReason;
use crate::upstream::{Prompt, UpstreamId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use woadstall_control::configuration::{Route, Service};

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The request's route.
    pub route: &'a Route,
    /// The service that the request goes to.
    pub service: &'a Service,
    /// The request's prompt; empty where the service runs no model.
    pub prompt: Prompt,
    /// Upstreams that were tried for this request already; none of them is chosen again.
    pub tried: &'a [UpstreamId],
}

/// The upstream that a request is forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The upstream.
    pub id: UpstreamId,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether it is in this balancer's region.
    pub is_local_region: bool,
    /// The most connections that this balancer may have open to it.
    pub max_connections: usize,
    /// Prompt tokens that it is expected to prefill for this request; tokens in its prefix cache
    /// are not counted.
    pub prefill_tokens: u64,
    /// Prompt tokens that it has to prefill for all requests of this balancer, this one included.
    pub prefill_backlog: u64,
    /// Requests of this balancer that it has in flight, this one included.
    pub in_flight: u32,
}

/// A request that no upstream takes now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// When the client may retry, for `Retry-After`.
    pub retry_after: Duration,
    /// Whether no upstream is usable at all; otherwise all of them are at capacity.
    pub no_usable_upstream: bool,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Forward it. The caller must report the end of the attempt with [`crate::Router::finish`].
    Forward(Target),
    /// Reject it without an attempt.
    Reject(Rejection),
}

/// The state of a request's candidate upstreams, to explain a decision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CandidateSummary {
    /// The number of upstreams that the request may go to.
    pub candidates: usize,
    /// How many of them are skipped, by reason.
    pub skipped: BTreeMap<SkipReason, usize>,
}
