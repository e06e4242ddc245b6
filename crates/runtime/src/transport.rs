//! The interface between the runtime and a transport.

use crate::{Attempt, ResponseTail};
use std::future::Future;
use std::time::Duration;
use woadstall_engine::{AttemptEnd, LoadReport, Outcome, Peer, ServerId};

/// Progress of an attempt.
pub enum AttemptProgress<A> {
    /// The attempt has ended, with a response if a final one was received.
    Ended(AttemptEnd<A>),
    /// The final response has started and is streamed to the caller. The streamed body reports its end through the
    /// [`ResponseTail`]; dropping the tail signals that the caller has given up.
    ResponseStarted(Box<dyn FnOnce(ResponseTail) -> A + Send>),
}

/// Makes attempts and manages connections to upstreams. Implementations must not call back into the load balancer from
/// these methods: the engine's mutex may be locked.
pub trait Transport: Send + Sync + 'static {
    /// The request. An attempt may move parts out of it that cannot be sent twice.
    type Request: Send + 'static;
    /// The response returned to the caller.
    type Response: Send + 'static;

    /// Makes an attempt. Dropping the future cancels the attempt: no further byte is sent. The runtime enforces the
    /// time limit, but the transport must call [`Attempt::begin`] immediately before writing the first byte.
    fn attempt(
        &self,
        request: &mut Self::Request,
        attempt: &Attempt,
    ) -> impl Future<Output = AttemptProgress<Self::Response>> + Send + 'static;

    /// Requests a load report from an upstream.
    fn probe(
        &self,
        peer: Peer,
        timeout: Duration,
    ) -> impl Future<Output = (Outcome, Option<LoadReport>)> + Send + 'static;

    /// Closes the idle connections to an upstream. Busy connections may be reused after their requests complete.
    fn close_idle(&self, server: ServerId);

    /// Excludes all existing connections to an upstream from new requests. Requests in flight continue.
    fn retire(&self, server: ServerId);

    /// Closes connections whose idle time exceeds the limit; called periodically.
    fn sweep(&self);
}
