//! The plug-in as a tower service.

use crate::answer;
use crate::ask::{Asked, Classes};
use crate::builder::{Builder, Protocol};
use crate::inherit::inherited;
use crate::wire::Wire;
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
use woadstall_runtime::CallParameters;
use woadstall_transport::{BodyError, OutboundRequest, ResponseBody, is_grpc};

/// The decisions inside the caller. Clones share everything.
#[derive(Clone)]
pub struct Balance(Arc<Inner>);

struct Inner {
    balance: woadstall_runtime::LoadBalancer<Wire>,
    classes: Classes,
    discovery: Option<watch::Sender<SocketAddr>>,
    protocol: Protocol,
    replay_limit: usize,
}

impl Balance {
    /// Sets one up.
    pub fn builder() -> Builder {
        Builder::default()
    }

    pub(crate) fn new(
        balance: woadstall_runtime::LoadBalancer<Wire>,
        classes: Classes,
        discovery: Option<watch::Sender<SocketAddr>>,
        protocol: Protocol,
        replay_limit: usize,
    ) -> Self {
        Self(Arc::new(Inner {
            balance,
            classes,
            discovery,
            protocol,
            replay_limit,
        }))
    }

    /// Takes a list of upstreams, whole or what changed, from a source of the caller's own.
    pub fn list(&self, listing: &EndpointList) {
        self.0.balance.list(listing);
    }

    /// Follows discovery at another address from now on; its whole list is asked for at once.
    pub fn discovery(&self, address: SocketAddr) {
        if let Some(at) = &self.0.discovery {
            at.send_replace(address);
        }
    }

    /// Waits until there is an upstream to send to.
    pub async fn ready(&self) {
        self.0.balance.ready().wait_for(|ready| *ready).await.ok();
    }

    /// How many calls are not answered, or have an attempt out.
    pub fn open_calls(&self) -> usize {
        self.0.balance.open()
    }

    /// How many connections to upstreams are open.
    pub fn open_connections(&self) -> usize {
        match self.0.balance.transport() {
            Wire::Http1(wire) => wire.open(),
            Wire::Http2(wire) => wire.open_connections(),
        }
    }

    async fn answer<B>(
        self,
        mut request: Request<B>,
        came: Instant,
        inherited: Option<Instant>,
    ) -> Response<ResponseBody>
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<BodyError>,
    {
        let grpc = is_grpc(request.headers());
        let info = request.extensions().get::<crate::CallInfo>();
        if let Some(key) = info.and_then(|info| HeaderValue::from_str(info.key.as_deref()?).ok()) {
            request.headers_mut().insert("idempotency-key", key);
        }
        let (head, body) = request.into_parts();
        let Asked {
            class,
            tenant,
            work,
            within,
            told,
        } = self.0.classes.ask(&head);
        let deadline = inherited.map_or(came + within, |outer| outer.min(came + within));
        let told = told || inherited.is_some();
        let most = self.0.replay_limit;
        let held = OutboundRequest::buffer(
            Request::from_parts(head, body),
            most,
            grpc,
            told.then_some(deadline),
        );
        let outbound = match timeout_at(deadline, held).await {
            Ok(Ok(outbound)) => outbound,
            Ok(Err(_)) => return answer::unreadable(grpc),
            Err(_) => return answer::refused(grpc, Duration::ZERO), // nothing was sent
        };
        let attempts = outbound.max_attempts();
        if self.0.protocol == Protocol::Http1 && attempts == 1 {
            return answer::too_large(grpc);
        }
        let ask = CallParameters {
            class,
            tenant,
            work,
            deadline,
            max_attempts: attempts,
        };
        match self.0.balance.call(ask, outbound).await {
            CallResult::Served(answer) => answer,
            CallResult::Rejected(nanos) => answer::refused(grpc, Duration::from_nanos(nanos)),
            CallResult::Failed => answer::failed(grpc),
        }
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

    /// Always ready: what cannot be taken is refused, as soon as that is known.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    /// The answer. Dropping the future withdraws the call: nothing is sent for it afterwards.
    fn call(&mut self, request: Request<B>) -> Self::Future {
        // The task that calls may not be the one that waits.
        let (balance, came, inherited) = (self.clone(), Instant::now(), inherited());
        Box::pin(async move { Ok(balance.answer(request, came, inherited).await) })
    }
}
