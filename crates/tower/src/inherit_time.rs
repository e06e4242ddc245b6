//! The deadline that a service's own caller has set, for the calls that the service makes in turn.

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

/// The deadline of the request that this task serves, if an [`InheritTime`] stands before its service.
pub(crate) fn inherited_deadline() -> Option<Instant> {
    DEADLINE.try_with(|deadline| *deadline).ok()
}

/// A layer for a service's own server. It reads how long the caller of each request waits (`grpc-timeout`,
/// `x-budget`; one hour at most, and by default), and the calls that the service makes through a
/// [`crate::Balance`] while it works on that request wait no longer. It goes with the task that serves the
/// request: calls made in a task of their own don't inherit.
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

/// The service that [`InheritTime`] wraps around another.
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
