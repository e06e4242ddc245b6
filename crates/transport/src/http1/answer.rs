//! Answers of upstreams, whole or passed on as they come.

use super::connection::Connection;
use super::pool::Pool;
use crate::shared::lock;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use woadstall_runtime::ResponseTail;
use woadstall_runtime::engine::{Outcome, ServerId};

/// An upstream's answer: whole, or with a rest that is still to come.
pub enum Answer {
    /// All of it, until it is taken.
    Whole(Bytes),
    /// What has come so far, and what comes.
    Rest(Box<Rest>),
}

/// An answer that has begun. Dropped before its end, it is withdrawn.
pub struct Rest {
    first: Bytes,
    length: Option<u64>,
    /// Bytes that may still come.
    left: usize,
    body: Incoming,
    connection: Connection,
    /// Where the end is told, and where the connection goes after it.
    tail: Option<ResponseTail>,
    home: Option<(Arc<Mutex<Pool>>, ServerId, u64)>,
}

impl Answer {
    /// Whether all of it is there.
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }
}

impl From<Bytes> for Answer {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(bytes)
    }
}

impl Rest {
    /// An answer of which `first` has come, and `left` bytes more may.
    pub(super) fn new(
        first: Bytes,
        length: Option<u64>,
        left: usize,
        body: Incoming,
        connection: Connection,
    ) -> Self {
        Self {
            first,
            length,
            left,
            body,
            connection,
            tail: None,
            home: None,
        }
    }

    /// Where the connection goes at the end.
    pub(super) fn goes_home(&mut self, pool: Arc<Mutex<Pool>>, server: ServerId, epoch: u64) {
        self.home = Some((pool, server, epoch));
    }

    /// Where the end is told.
    pub(super) fn ends_at(&mut self, tail: ResponseTail) {
        self.tail = Some(tail);
    }

    /// Whether its end has come, and tells it.
    fn is_over(&mut self, asked: bool) -> bool {
        let over = asked || self.first.is_empty() && self.body.is_end_stream();
        if over {
            self.tail
                .take()
                .into_iter()
                .for_each(|tail| tail.end(Outcome::Ok));
        }
        over
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
                    Ok(data) if data.len() <= self.left => {
                        self.left -= data.len();
                        return Poll::Ready(Some(Ok(data)));
                    }
                    Ok(_) => (
                        Outcome::Error,
                        io::Error::other("an answer is larger than any may be"),
                    ),
                    Err(_) => continue, // trailers belong to the connection
                },
            };
            self.tail
                .take()
                .into_iter()
                .for_each(|tail| tail.end(outcome));
            return Poll::Ready(Some(Err(error)));
        }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = match &mut *self {
            Self::Whole(bytes) if bytes.is_empty() => None,
            Self::Whole(bytes) => Some(Ok(std::mem::take(bytes))),
            Self::Rest(rest) => {
                let next = ready!(rest.poll_next(cx));
                // Where the length was told, nobody asks for more than that.
                if rest.is_over(next.is_none())
                    && let Self::Rest(rest) =
                        std::mem::replace(&mut *self, Self::Whole(Bytes::new()))
                {
                    rest.go_home();
                }
                next
            }
        };
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Rest(rest) => rest
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

impl Rest {
    /// Keeps the connection for the next attempt, once it is ready for it.
    fn go_home(self) {
        let Self {
            mut connection,
            home: Some((pool, server, epoch)),
            ..
        } = self
        else {
            return;
        };
        connection
            .progress
            .answer_due
            .store(false, Ordering::Relaxed);
        tokio::spawn(async move {
            if connection.sender.ready().await.is_ok() {
                lock(&pool).put(server, epoch, connection);
            }
        });
    }
}
