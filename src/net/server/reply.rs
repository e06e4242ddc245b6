//! Answers to callers.

use super::super::figures::Begun;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::Instant;
use woadstall_inbound::{ConnectionState, lock};
use woadstall_transport::Http1Body;

/// An answer as hyper writes it.
pub type Reply = Response<ReplyBody>;

/// The body of an answer.
pub struct ReplyBody {
    answer: Http1Body,
    streamed: Option<Streamed>,
}

/// What goes with an answer that is passed on as it comes.
struct Streamed {
    begun: Begun,
    deadline: Instant,
    seen: Arc<Mutex<ConnectionState>>,
}

impl From<Bytes> for ReplyBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            answer: bytes.into(),
            streamed: None,
        }
    }
}

impl From<Http1Body> for ReplyBody {
    fn from(answer: Http1Body) -> Self {
        Self {
            answer,
            streamed: None,
        }
    }
}

impl ReplyBody {
    /// Whether all of it is there.
    pub fn is_whole(&self) -> bool {
        self.answer.is_complete()
    }

    /// Tells when an answer that is not whole has come to its end.
    pub fn stream(&mut self, begun: Begun, deadline: Instant, seen: Arc<Mutex<ConnectionState>>) {
        self.streamed = Some(Streamed {
            begun,
            deadline,
            seen,
        });
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = ready!(Pin::new(&mut self.answer).poll_frame(cx));
        let over = frame.is_none() || self.answer.is_end_stream();
        if let Some(streamed) = self.streamed.as_mut().filter(|_| over) {
            streamed.begun.whole();
            lock(&streamed.seen).response_progressed(streamed.deadline, true);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.answer.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.answer.size_hint()
    }
}

/// An answer without a body.
pub fn status(code: StatusCode) -> Reply {
    let mut reply = Response::new(ReplyBody::from(Bytes::new()));
    *reply.status_mut() = code;
    reply
}

/// An answer with a line of text.
pub fn text(code: StatusCode, text: &'static str) -> Reply {
    let mut reply = status(code);
    *reply.body_mut() = Bytes::from_static(text.as_bytes()).into();
    reply
}

/// A refusal, with advice on how long to stay away unless that is zero.
pub fn refusal(stay_away: Duration) -> Reply {
    let mut reply = status(StatusCode::SERVICE_UNAVAILABLE);
    if stay_away > Duration::ZERO
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", stay_away.as_secs_f64()))
    {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}
