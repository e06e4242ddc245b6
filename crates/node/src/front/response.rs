//! Responses to clients.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// A response that hyper sends to a client.
pub(super) type ClientResponse = Response<ResponseBody>;

/// Body of a response to a client.
pub(super) enum ResponseBody {
    /// A body that is completely in memory.
    Complete(Bytes),
    /// A streamed body. An error closes the connection, so that the client recognizes the body as
    /// truncated.
    Stream(mpsc::Receiver<io::Result<Bytes>>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Complete(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Complete(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Stream(receiver) => receiver
                .poll_recv(cx)
                .map(|item| item.map(|data| data.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Builds a plain-text response that the balancer generates itself.
pub(super) fn text_response(status: StatusCode, text: &'static str) -> ClientResponse {
    let body = ResponseBody::Complete(Bytes::from_static(text.as_bytes()));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Builds the response to a request that has not been executed and never will be. `Retry-After`
/// holds the time after which the client may retry, in seconds with three decimals (RFC 9110
/// specifies whole seconds).
pub(super) fn service_unavailable(retry_after: Duration) -> ClientResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "not now\n");
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
