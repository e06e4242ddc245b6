//! How far requests have got on their way out, and what is counted over all connections.

use crate::sync::lock;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::time::{Duration, Instant};

/// How far a request has got on its way out.
#[derive(Default)]
pub struct Progress {
    /// The last of its body is in hyper's hands.
    pub body_taken: AtomicBool,
    /// Its last byte is written: the upstream may run it from here on.
    pub written: AtomicBool,
    /// Its response has not come to its end: what comes belongs to it.
    pub response_due: AtomicBool,
}

/// What is counted over all connections.
#[derive(Default)]
pub struct ConnectionCounts {
    /// Connections that are open.
    pub open_connections: AtomicUsize,
    /// Requests that were written to their last byte.
    pub requests_written: AtomicU64,
    /// When an upstream last broke the protocol.
    last_violation: Mutex<Option<Instant>>,
}

impl ConnectionCounts {
    /// Notes that an upstream has just broken the protocol.
    pub(super) fn record_violation(&self) {
        *lock(&self.last_violation) = Some(Instant::now());
    }

    /// Whether an upstream has broken the protocol within this time.
    pub fn had_violation_within(&self, time: Duration) -> bool {
        lock(&self.last_violation).is_some_and(|at| at.elapsed() < time)
    }
}

/// The body of a request, which notes when it was taken.
pub struct RequestBody {
    data: Option<Bytes>,
    progress: Arc<Progress>,
}

impl RequestBody {
    /// The body of the next request on a connection.
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
