//! Answers to clients.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// An answer as hyper writes it.
pub(crate) type Reply = Response<ReplyBody>;

/// The body of an answer.
pub(crate) enum ReplyBody {
    /// All of it.
    Whole(Bytes),
    /// What comes, to the end or to an error that cuts the connection.
    Stream(mpsc::Receiver<io::Result<Bytes>>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Stream(receiver) => receiver
                .poll_recv(cx)
                .map(|data| data.map(|data| data.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// An answer of this balancer with a line of text.
pub(crate) fn text(code: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(ReplyBody::Whole(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = code;
    reply
}

/// A refusal of a request that has not run and never will, with the time after which its client may come back.
pub(crate) fn refusal(retry_after: Duration) -> Reply {
    let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, "not now\n");
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64())) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}
