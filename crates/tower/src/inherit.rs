//! What a service's own caller still waits, for the calls that the service makes in turn.

use crate::ask::told_time;
use http::Request;
use std::future::Future;
use std::task::{Context, Poll};
use tokio::task::futures::TaskLocalFuture;
use tokio::time::Instant;
use tower_service::Service;

tokio::task_local! {
    static DEADLINE: Instant;
}

/// When the caller of the request that is being served stops waiting, if it said so.
pub(crate) fn inherited() -> Option<Instant> {
    DEADLINE.try_with(|deadline| *deadline).ok()
}

/// A layer for a service's own server. It reads how long the caller of each request waits (`grpc-timeout`,
/// `x-budget`), and what the service asks for through a [`crate::Balance`] while it works on that request waits
/// no longer. It goes with the task that serves the request: calls made in a task of their own don't inherit.
#[derive(Clone, Copy, Debug, Default)]
pub struct InheritTime;

impl<S> tower_layer::Layer<S> for InheritTime {
    type Service = Inheriting<S>;

    fn layer(&self, inner: S) -> Inheriting<S> {
        Inheriting(inner)
    }
}

/// See [`InheritTime`].
#[derive(Clone, Debug)]
pub struct Inheriting<S>(S);

impl<S, B> Service<Request<B>> for Inheriting<S>
where
    S: Service<Request<B>>,
    S::Future: Future<Output = Result<S::Response, S::Error>>,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = TaskLocalFuture<Instant, S::Future>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let within = told_time(request.headers()).unwrap_or(crate::ask::MOST_TIME);
        let deadline = Instant::now() + within.min(crate::ask::MOST_TIME);
        let deadline = inherited().map_or(deadline, |outer| outer.min(deadline));
        DEADLINE.scope(deadline, self.0.call(request))
    }
}
