//! Response bodies, complete or streamed.

use super::connection::Connection;
use super::pool::Pool;
use crate::sync::lock;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use woadstall_runtime::ResponseTail;
use woadstall_runtime::engine::{Outcome, ServerId};

/// The body of an upstream's response.
pub enum Http1Body {
    /// The whole body; empty once it has been read.
    Complete(Bytes),
    /// A body that is forwarded while it is received.
    Streaming(Box<StreamingBody>),
}

/// The place in the pool to which a connection returns after its response.
struct PoolSlot {
    pool: Arc<Mutex<Pool>>,
    server: ServerId,
    epoch: u64,
}

/// The body of a response that has started. Dropping it before its end cancels the attempt.
pub struct StreamingBody {
    /// Bytes received before streaming began; empty once they have been read.
    buffered: Bytes,
    /// Length of the whole body in bytes, if known.
    length: Option<u64>,
    /// Number of further bytes that the size limit allows.
    remaining_limit: usize,
    body: Incoming,
    connection: Connection,
    tail: Option<ResponseTail>,
    pool_slot: Option<PoolSlot>,
}

impl Http1Body {
    /// Whether the whole body has been received.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Complete(_))
    }
}

impl From<Bytes> for Http1Body {
    fn from(bytes: Bytes) -> Self {
        Self::Complete(bytes)
    }
}

impl StreamingBody {
    /// Creates a body of which `buffered` has been received. A body with more than `remaining_limit` further bytes is an
    /// error.
    pub(super) fn new(
        buffered: Bytes,
        length: Option<u64>,
        remaining_limit: usize,
        body: Incoming,
        connection: Connection,
    ) -> Self {
        Self {
            buffered,
            length,
            remaining_limit,
            body,
            connection,
            tail: None,
            pool_slot: None,
        }
    }

    /// Sets the pool entry to which the connection returns when the body ends.
    pub(super) fn set_pool_slot(&mut self, pool: Arc<Mutex<Pool>>, server: ServerId, epoch: u64) {
        self.pool_slot = Some(PoolSlot {
            pool,
            server,
            epoch,
        });
    }

    /// Sets the receiver of the attempt's outcome.
    pub(super) fn set_tail(&mut self, tail: ResponseTail) {
        self.tail = Some(tail);
    }

    fn report_end(&mut self, outcome: Outcome) {
        if let Some(tail) = self.tail.take() {
            tail.end(outcome);
        }
    }

    /// Whether the body has ended; reports the end if so. If the length is known, readers do not poll beyond it, so the
    /// end must be detected without another poll.
    fn has_ended(&mut self, polled_to_end: bool) -> bool {
        let has_ended = polled_to_end || self.buffered.is_empty() && self.body.is_end_stream();
        if has_ended {
            self.report_end(Outcome::Ok);
        }
        has_ended
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if !self.buffered.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.buffered))));
        }
        loop {
            let (outcome, error) = match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                None => return Poll::Ready(None),
                Some(Err(error)) => (Outcome::Reset, io::Error::other(error)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.len() <= self.remaining_limit => {
                        self.remaining_limit -= data.len();
                        return Poll::Ready(Some(Ok(data)));
                    }
                    Ok(_) => (
                        Outcome::Error,
                        io::Error::other("response body exceeds the size limit"),
                    ),
                    Err(_) => continue, // trailers apply to this connection only
                },
            };
            self.report_end(outcome);
            return Poll::Ready(Some(Err(error)));
        }
    }

    /// Returns the connection to the pool once it can take another request.
    fn return_connection(self) {
        let Self {
            mut connection,
            pool_slot: Some(slot),
            ..
        } = self
        else {
            return;
        };
        connection
            .progress
            .response_due
            .store(false, Ordering::Relaxed);
        tokio::spawn(async move {
            if connection.sender.ready().await.is_ok() {
                lock(&slot.pool).put(slot.server, slot.epoch, connection);
            }
        });
    }
}

impl Body for Http1Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = match &mut *self {
            Self::Complete(bytes) if bytes.is_empty() => None,
            Self::Complete(bytes) => Some(Ok(std::mem::take(bytes))),
            Self::Streaming(body) => {
                let next = ready!(body.poll_next(cx));
                if body.has_ended(next.is_none()) {
                    let ended = std::mem::replace(&mut *self, Self::Complete(Bytes::new()));
                    if let Self::Streaming(body) = ended {
                        body.return_connection();
                    }
                }
                next
            }
        };
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streaming(body) => body
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
