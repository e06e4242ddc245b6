//! Bodies of responses, complete or passed on as they come.

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
    /// All of it, until it is taken.
    Complete(Bytes),
    /// What has come so far, and what comes.
    Streaming(Box<StreamingBody>),
}

/// Where a connection goes after its response.
struct PoolSlot {
    pool: Arc<Mutex<Pool>>,
    server: ServerId,
    epoch: u64,
}

/// The body of a response that has started. Dropped before its end, the attempt is cancelled.
pub struct StreamingBody {
    /// What has come so far, until it is taken.
    first: Bytes,
    /// Length of the whole body, where that is known.
    length: Option<u64>,
    /// Bytes that may still come.
    allowance: usize,
    body: Incoming,
    connection: Connection,
    tail: Option<ResponseTail>,
    pool_slot: Option<PoolSlot>,
}

impl Http1Body {
    /// Whether all of it is there.
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
    /// A body of which `first` has come, and `allowance` bytes more may.
    pub(super) fn new(
        first: Bytes,
        length: Option<u64>,
        allowance: usize,
        body: Incoming,
        connection: Connection,
    ) -> Self {
        Self {
            first,
            length,
            allowance,
            body,
            connection,
            tail: None,
            pool_slot: None,
        }
    }

    /// Where the connection goes at the end.
    pub(super) fn return_to(&mut self, pool: Arc<Mutex<Pool>>, server: ServerId, epoch: u64) {
        self.pool_slot = Some(PoolSlot {
            pool,
            server,
            epoch,
        });
    }

    /// Where the end is reported.
    pub(super) fn report_to(&mut self, tail: ResponseTail) {
        self.tail = Some(tail);
    }

    fn report_end(&mut self, outcome: Outcome) {
        if let Some(tail) = self.tail.take() {
            tail.end(outcome);
        }
    }

    /// Whether its end has come; reports it then. Where the length is known, nobody polls for more than that.
    fn has_ended(&mut self, polled_to_end: bool) -> bool {
        let has_ended = polled_to_end || self.first.is_empty() && self.body.is_end_stream();
        if has_ended {
            self.report_end(Outcome::Ok);
        }
        has_ended
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if !self.first.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.first))));
        }
        loop {
            let (outcome, error) = match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                None => return Poll::Ready(None),
                Some(Err(error)) => (Outcome::Reset, io::Error::other(error)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.len() <= self.allowance => {
                        self.allowance -= data.len();
                        return Poll::Ready(Some(Ok(data)));
                    }
                    Ok(_) => (
                        Outcome::Error,
                        io::Error::other("an answer is larger than any may be"),
                    ),
                    Err(_) => continue, // trailers belong to the connection
                },
            };
            self.report_end(outcome);
            return Poll::Ready(Some(Err(error)));
        }
    }

    /// Keeps the connection for the next attempt, once it is ready for it.
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
