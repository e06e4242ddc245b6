//! A layer that passes the deadline of a request on to the calls that its handler makes.

use crate::timeout::{MAX_TIMEOUT, timeout_from_headers};
use http::Request;
use std::future::Future;
use std::task::{Context, Poll};
use tokio::task::futures::TaskLocalFuture;
use tokio::time::Instant;
use tower_service::Service;

tokio::task_local! {
    static DEADLINE: Instant;
}

/// The deadline of the request that the current task serves, if its service is wrapped by [`InheritTime`].
pub(crate) fn inherited_deadline() -> Option<Instant> {
    DEADLINE.try_with(|deadline| *deadline).ok()
}

/// A layer for a server, which limits the calls that a request handler makes through a [`crate::Balance`] to the
/// deadline of the request that it serves. The deadline is read from the headers `grpc-timeout` and `x-budget`; it is
/// one hour if neither is present, and at most one hour. Only calls made in the task that serves the request inherit
/// the deadline; calls made in a spawned task do not.
///
/// ```
/// # use tower_layer::Layer;
/// # use woadstall_tower::InheritTime;
/// # struct Router;
/// let service = InheritTime.layer(Router);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct InheritTime;

impl<S> tower_layer::Layer<S> for InheritTime {
    type Service = InheritTimeService<S>;

    fn layer(&self, inner: S) -> InheritTimeService<S> {
        InheritTimeService { inner }
    }
}

/// A service wrapped by [`InheritTime`].
#[derive(Clone, Debug)]
pub struct InheritTimeService<S> {
    inner: S,
}

impl<S, B> Service<Request<B>> for InheritTimeService<S>
where
    S: Service<Request<B>>,
    S::Future: Future<Output = Result<S::Response, S::Error>>,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = TaskLocalFuture<Instant, S::Future>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let timeout = timeout_from_headers(request.headers()).unwrap_or(MAX_TIMEOUT);
        let deadline = Instant::now() + timeout.min(MAX_TIMEOUT);
        let deadline = inherited_deadline().map_or(deadline, |outer| outer.min(deadline));
        DEADLINE.scope(deadline, self.inner.call(request))
    }
}
