//! The tower service of the plug-in.

use crate::call_classes::{CallClasses, CallRequirements};
use crate::call_info::CallInfo;
use crate::inherit_time::inherited_deadline;
use crate::local_response::ResponseFormat;
use crate::upstream_transport::{Protocol, UpstreamTransport};
use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body::Body;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use tower_service::Service;
use woadstall_discovery::EndpointList;
use woadstall_engine::CallResult;
use woadstall_runtime::{CallParameters, LoadBalancer};
use woadstall_transport::{BodyError, OutboundRequest, ResponseBody};

/// A tower service that balances requests over upstreams. Clones share all state. Created by [`Balance::builder`].
#[derive(Clone)]
pub struct Balance(Arc<Shared>);

/// The state that the clones of a [`Balance`] share.
pub(crate) struct Shared {
    pub load_balancer: LoadBalancer<UpstreamTransport>,
    pub classes: CallClasses,
    /// Address of discovery; `None` if the plug-in was built without discovery.
    pub discovery: Option<watch::Sender<SocketAddr>>,
    pub protocol: Protocol,
    /// Maximum number of bytes of a request body that are buffered for retries.
    pub replay_limit: usize,
}

impl Balance {
    pub(crate) fn new(shared: Shared) -> Self {
        Self(Arc::new(shared))
    }

    /// Applies a list of upstreams from the caller's own source. The list is either complete or contains only the
    /// entries that changed.
    pub fn update_endpoints(&self, listing: &EndpointList) {
        self.0.load_balancer.update_endpoints(listing);
    }

    /// Changes the address of discovery and requests its complete list at once. Does nothing if the plug-in was built
    /// without [`crate::Builder::discovery`].
    pub fn set_discovery_address(&self, address: SocketAddr) {
        if let Some(addresses) = &self.0.discovery {
            addresses.send_replace(address);
        }
    }

    /// Waits until there is an upstream that can receive requests. Has no timeout.
    pub async fn ready(&self) {
        let mut readiness = self.0.load_balancer.ready();
        readiness.wait_for(|ready| *ready).await.ok();
    }

    /// The number of calls that have no response yet or have an attempt in flight.
    pub fn open_calls(&self) -> usize {
        self.0.load_balancer.open_call_count()
    }

    /// The number of open connections to upstreams.
    pub fn open_connections(&self) -> usize {
        self.0.load_balancer.transport().open_connections()
    }

    /// Responds to a request that arrived at `arrival`. `inherited` is the deadline of the request that the caller
    /// itself serves, if known.
    async fn respond<B>(
        self,
        mut request: Request<B>,
        arrival: Instant,
        inherited: Option<Instant>,
    ) -> Response<ResponseBody>
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<BodyError>,
    {
        let format = ResponseFormat::for_request(request.headers());
        set_idempotency_key(&mut request);
        let (head, body) = request.into_parts();
        let requirements = self.0.classes.requirements(&head);
        let own_deadline = arrival + requirements.timeout;
        let deadline = inherited.map_or(own_deadline, |outer| outer.min(own_deadline));
        let has_caller_deadline = requirements.has_caller_timeout || inherited.is_some();
        let buffering = OutboundRequest::buffer(
            Request::from_parts(head, body),
            self.0.replay_limit,
            format == ResponseFormat::Grpc,
            has_caller_deadline.then_some(deadline),
        );
        let outbound = match timeout_at(deadline, buffering).await {
            Ok(Ok(outbound)) => outbound,
            Ok(Err(_)) => return format.unreadable_body(),
            // The deadline passed while the body was read; nothing was sent.
            Err(_) => return format.rejected(Duration::ZERO),
        };
        self.balance(outbound, &requirements, deadline, format)
            .await
    }

    /// Passes a request to the load balancer, which makes attempts until the call is served, rejected or failed.
    async fn balance(
        &self,
        outbound: OutboundRequest,
        requirements: &CallRequirements,
        deadline: Instant,
        format: ResponseFormat,
    ) -> Response<ResponseBody> {
        let max_attempts = outbound.max_attempts();
        if self.0.protocol == Protocol::Http1 && max_attempts == 1 {
            return format.body_too_large();
        }
        let parameters = CallParameters {
            class: requirements.class,
            tenant: requirements.tenant,
            work: requirements.estimated_work,
            deadline,
            max_attempts,
        };
        match self.0.load_balancer.call(parameters, outbound).await {
            CallResult::Served(response) => response,
            CallResult::Rejected(nanos) => format.rejected(Duration::from_nanos(nanos)),
            CallResult::Failed => format.failed(),
        }
    }
}

/// Copies the idempotency key of the request's [`CallInfo`] into the header `idempotency-key`, which servers read.
fn set_idempotency_key<B>(request: &mut Request<B>) {
    let info = request.extensions().get::<CallInfo>();
    let key = info.and_then(|info| HeaderValue::from_str(info.key.as_deref()?).ok());
    if let Some(key) = key {
        request.headers_mut().insert("idempotency-key", key);
    }
}

impl<B> Service<Request<B>> for Balance
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    type Response = Response<ResponseBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response<ResponseBody>, Infallible>> + Send>>;

    /// Always ready. A request that cannot be sent is answered with a rejection instead.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    /// Sends the request. Dropping the future cancels the call; no further attempt is made for it.
    fn call(&mut self, request: Request<B>) -> Self::Future {
        // The deadline is read here because the returned future may run in another task, without the task-local
        // deadline.
        let (balance, arrival, inherited) = (self.clone(), Instant::now(), inherited_deadline());
        Box::pin(async move { Ok(balance.respond(request, arrival, inherited).await) })
    }
}
