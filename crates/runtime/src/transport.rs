//! What a transport does for the runtime.

use crate::{Attempt, ResponseTail};
use std::future::Future;
use std::time::Duration;
use woadstall_engine::{AttemptEnd, LoadReport, Outcome, Peer, ServerId};

/// How far an attempt has come when it has something to report.
pub enum AttemptProgress<A> {
    /// To its end. The response comes with it if it is the final one.
    Ended(AttemptEnd<A>),
    /// The final response has started, and is passed on as it comes. Whoever reads it reports its end by the tail;
    /// dropping the tail means that the caller has given up.
    ResponseStarted(Box<dyn FnOnce(ResponseTail) -> A + Send>),
}

/// Connections to upstreams, and attempts on them. Nothing here may call back into the load balancer from within.
pub trait Transport: Send + Sync + 'static {
    /// What is sent; an attempt may take from it what cannot be sent twice.
    type Request: Send + 'static;
    /// What comes back.
    type Response: Send + 'static;

    /// Makes an attempt. Dropping the future cancels it: nothing of it is sent afterwards. It need not mind its time, but
    /// must ask [`Attempt::begin`] right before it writes the first byte.
    fn attempt(
        &self,
        request: &mut Self::Request,
        attempt: &Attempt,
    ) -> impl Future<Output = AttemptProgress<Self::Response>> + Send + 'static;

    /// Asks an upstream for its load report.
    fn probe(
        &self,
        peer: Peer,
        timeout: Duration,
    ) -> impl Future<Output = (Outcome, Option<LoadReport>)> + Send + 'static;

    /// Closes the idle connections to an upstream; busy ones may be used again.
    fn close_idle(&self, server: ServerId);

    /// Uses no present connection to an upstream for anything new. What is in flight goes on.
    fn retire(&self, server: ServerId);

    /// Closes what has been idle for too long; called now and then.
    fn sweep(&self);
}
