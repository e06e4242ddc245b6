//! Input and result of a routing decision.

use crate::skip_reason::SkipReason;
use crate::upstream::{Prompt, UpstreamId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use woadstall_control::configuration::{Route, Service};

/// Request for which the router selects an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Route that the request matched.
    pub route: &'a Route,
    /// Service that the request is sent to.
    pub service: &'a Service,
    /// Prompt of the request; empty if the service does not run a model.
    pub prompt: Prompt,
    /// Upstreams that already had an attempt of this request and are not selected again.
    pub tried: &'a [UpstreamId],
}

/// Upstream that a request is forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Zone of the upstream.
    pub zone: Arc<str>,
    /// Whether the upstream is in this balancer's region.
    pub is_local_region: bool,
    /// Maximum number of connections that this balancer may have open to the upstream.
    pub max_connections: usize,
    /// Prompt tokens that the upstream is expected to prefill for this request, without the tokens
    /// in its prefix cache.
    pub prefill_tokens: u64,
    /// Prompt tokens that the upstream has yet to prefill for all requests of this balancer,
    /// including this one.
    pub prefill_backlog: u64,
    /// Number of requests of this balancer in flight at the upstream, including this one.
    pub in_flight: u32,
}

/// Rejection of a request that no upstream can accept at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Delay after which the client may retry, for the `Retry-After` header.
    pub retry_after: Duration,
    /// Whether no upstream is usable. If `false`, usable upstreams exist, but all of them are at
    /// capacity.
    pub no_usable_upstream: bool,
}

/// Result of routing a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Forward the request. The caller must report the end of the attempt with
    /// [`crate::Router::finish`].
    Forward(Target),
    /// Reject the request without an attempt.
    Reject(Rejection),
}

/// State of a request's candidate upstreams, which explains a routing decision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CandidateSummary {
    /// Number of upstreams that the request may go to.
    pub candidates: usize,
    /// Number of candidates that the request skips, by reason.
    pub skipped: BTreeMap<SkipReason, usize>,
}
