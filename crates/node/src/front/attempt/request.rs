//! The request that attempts send to upstreams.

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::http::request;
use tokio::time::Instant;

/// A client request that is ready to be sent to upstreams.
pub(in crate::front) struct ForwardedRequest {
    /// Head of the client's request without hop-by-hop headers.
    pub head: request::Parts,
    pub body: Bytes,
    /// Value of the `Request-Id` header.
    pub id: HeaderValue,
    /// Priority of the request at the upstream; 0 is the highest.
    pub priority: u8,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    pub response_mode: ResponseMode,
}

/// Forwarding mode of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::front) enum ResponseMode {
    /// The response is forwarded once it is complete.
    Buffered,
    /// A successful response is forwarded as it arrives.
    Streaming,
}
