//! What attempts return.

use super::headers::KeepAlive;
use super::in_flight::InFlight;
use crate::front::pool::PooledConnection;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::response::Parts;

/// How an attempt has ended.
pub(in crate::front) enum AttemptResult {
    /// Nothing was sent.
    NotSent,
    /// The upstream did not execute the request.
    Rejected,
    /// There is no response, and the upstream may have executed the request.
    Failed,
    /// The deadline has passed, and the upstream may have executed the request.
    TimedOut,
    /// A complete response.
    Complete(Parts, Bytes),
    /// The head of a streamed response.
    Streaming(Box<StreamingResponse>),
}

/// A response whose body is still to come.
pub(in crate::front) struct StreamingResponse {
    pub parts: Parts,
    pub body: Incoming,
    pub connection: PooledConnection,
    pub in_flight: InFlight,
    /// How long the upstream keeps the connection open after the response.
    pub keep_alive: KeepAlive,
}
