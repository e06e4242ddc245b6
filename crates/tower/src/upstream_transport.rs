//! The plug-in's transport to upstreams, over HTTP/1.1 or HTTP/2.

use http::Response;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use woadstall_engine::{LoadReport, Outcome, Peer, ServerId};
use woadstall_runtime::{Attempt, AttemptProgress, Transport};
use woadstall_transport::{Http1, Http2, OutboundRequest, ResponseBody};

/// The protocol of the connections to upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Protocol {
    /// HTTP/1.1, with one call at a time per connection. Request and response bodies are buffered completely and
    /// limited to the replay limit.
    Http1,
    /// HTTP/2 with prior knowledge, as gRPC uses it.
    #[default]
    Http2,
}

/// The transport for the protocol that is chosen at run time.
pub(crate) enum UpstreamTransport {
    Http1(Http1),
    Http2(Http2),
}

/// The future of an attempt. It is boxed because each future that wraps it would otherwise store it twice.
type BoxedAttempt =
    Pin<Box<dyn Future<Output = AttemptProgress<Response<ResponseBody>>> + Send + 'static>>;

impl UpstreamTransport {
    /// The number of open connections to upstreams.
    pub(crate) fn open_connections(&self) -> usize {
        match self {
            Self::Http1(transport) => transport.open_connections(),
            Self::Http2(transport) => transport.open_connections(),
        }
    }
}

/// Begins an attempt over HTTP/1.1. The attempt is not made if the request body is not fully buffered.
fn http1_attempt(
    transport: &Http1,
    request: &mut OutboundRequest,
    attempt: &Attempt,
) -> BoxedAttempt {
    let Some(buffered) = request.to_buffered() else {
        let unsent = AttemptProgress::Ended(Outcome::Moot.into());
        return Box::pin(std::future::ready(unsent));
    };
    let ended = transport.buffered_attempt(&buffered, attempt);
    Box::pin(async move {
        AttemptProgress::Ended(ended.await.map(|response| response.map(ResponseBody::new)))
    })
}

impl Transport for UpstreamTransport {
    type Request = OutboundRequest;
    type Response = Response<ResponseBody>;

    fn attempt(
        &self,
        request: &mut OutboundRequest,
        attempt: &Attempt,
    ) -> impl Future<Output = AttemptProgress<Response<ResponseBody>>> + Send + 'static {
        match self {
            Self::Http1(transport) => http1_attempt(transport, request, attempt),
            Self::Http2(transport) => Box::pin(transport.attempt(request, attempt)),
        }
    }

    fn probe(
        &self,
        peer: Peer,
        timeout: Duration,
    ) -> impl Future<Output = (Outcome, Option<LoadReport>)> + Send + 'static {
        let probe = match self {
            Self::Http1(transport) => Some(transport.probe(peer, timeout)),
            Self::Http2(_) => None,
        };
        async move {
            match probe {
                Some(probe) => probe.await,
                None => (Outcome::Moot, None),
            }
        }
    }

    fn close_idle(&self, server: ServerId) {
        match self {
            Self::Http1(transport) => transport.close_idle(server),
            Self::Http2(transport) => transport.close_idle(server),
        }
    }

    fn retire(&self, server: ServerId) {
        match self {
            Self::Http1(transport) => transport.retire(server),
            Self::Http2(transport) => transport.retire(server),
        }
    }

    fn sweep(&self) {
        match self {
            Self::Http1(transport) => transport.sweep(),
            Self::Http2(transport) => transport.sweep(),
        }
    }
}
