//! A request as attempts send it.

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::http::request;
use tokio::time::Instant;

/// A request as it is sent to upstreams.
pub(in crate::front) struct ForwardedRequest {
    /// The client's head without hop-by-hop headers.
    pub head: request::Parts,
    /// The body.
    pub body: Bytes,
    /// The value of `Request-Id`.
    pub id: HeaderValue,
    /// Its priority at the upstream; 0 is the highest.
    pub priority: u8,
    /// When it must be answered.
    pub deadline: Instant,
    /// How its response is forwarded.
    pub response_mode: ResponseMode,
}

/// How a response is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::front) enum ResponseMode {
    /// Once it is complete.
    Buffered,
    /// As it arrives, if its status is a success.
    Streaming,
}
