//! Results of attempts.

use super::headers::KeepAlive;
use super::in_flight::InFlight;
use crate::front::pool::PooledConnection;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use std::collections::VecDeque;

/// Result of an attempt at one upstream.
pub(in crate::front) enum AttemptResult {
    /// The request was not sent completely, so the upstream can't have executed it.
    NotSent,
    /// The upstream rejected the request without executing it.
    Rejected,
    /// No valid response arrived, and the upstream may have executed the request.
    Failed,
    /// The deadline passed, and the upstream may have executed the request.
    TimedOut,
    /// A complete response arrived.
    Complete(Parts, Bytes),
    /// The head of a streamed response arrived.
    Streaming(Box<StreamingResponse>),
}

/// A response whose head has arrived, with the connection that delivers its body.
pub(in crate::front) struct StreamingResponse {
    pub parts: Parts,
    /// Data received before the response was streamed; empty once it has been taken.
    pub received: VecDeque<Bytes>,
    pub body: Incoming,
    pub connection: PooledConnection,
    pub in_flight: InFlight,
    /// Persistence of the connection after the response.
    pub keep_alive: KeepAlive,
}

impl StreamingResponse {
    /// Returns the next data of the body; `None` at its end. Cancelling the future loses no data.
    pub async fn next_data(&mut self) -> Option<hyper::Result<Bytes>> {
        if let Some(data) = self.received.pop_front() {
            return Some(Ok(data));
        }
        loop {
            match self.body.frame().await? {
                Err(error) => return Some(Err(error)),
                // Trailers apply to the connection to the upstream only.
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
            }
        }
    }
}
