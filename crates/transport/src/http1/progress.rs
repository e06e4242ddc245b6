//! Progress of requests while they are written, and counters over all connections.

use crate::sync::lock;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::time::{Duration, Instant};

/// Progress of the present request on a connection.
#[derive(Default)]
pub struct Progress {
    /// hyper has taken the whole body.
    pub body_taken: AtomicBool,
    /// The last byte of the request is written to the socket. From then on the upstream may execute the request.
    pub written: AtomicBool,
    /// The response has not ended yet. Bytes received while this is false belong to no request.
    pub response_due: AtomicBool,
}

/// Counters over all connections.
#[derive(Default)]
pub struct ConnectionCounts {
    /// Connections that are open, idle and busy.
    pub open_connections: AtomicUsize,
    /// Requests written to their last byte.
    pub requests_written: AtomicU64,
    /// Time of the last protocol violation by any upstream.
    last_violation: Mutex<Option<Instant>>,
}

impl ConnectionCounts {
    pub(super) fn record_violation(&self) {
        *lock(&self.last_violation) = Some(Instant::now());
    }

    /// Whether any upstream has violated the protocol within the last `period`.
    pub fn had_violation_within(&self, period: Duration) -> bool {
        lock(&self.last_violation).is_some_and(|at| at.elapsed() < period)
    }
}

/// A request body that records in [`Progress`] when hyper has taken it.
pub struct RequestBody {
    data: Option<Bytes>,
    progress: Arc<Progress>,
}

impl RequestBody {
    /// Creates the body of the next request on a connection, and resets the connection's progress.
    pub fn new(body: Bytes, progress: Arc<Progress>) -> Self {
        progress
            .body_taken
            .store(body.is_empty(), Ordering::Relaxed);
        progress.written.store(false, Ordering::Relaxed);
        progress.response_due.store(true, Ordering::Relaxed);
        Self {
            data: Some(body).filter(|body| !body.is_empty()),
            progress,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let data = self.data.take();
        self.progress.body_taken.store(true, Ordering::Relaxed);
        Poll::Ready(data.map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, Bytes::len) as u64)
    }
}
