//! Responses to callers.

use crate::net::metrics::StreamingRequest;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use woadstall_transport::Http1Body;

/// A response to a caller, in the form that hyper writes.
pub type CallerResponse = Response<ResponseBody>;

/// The body of a response, complete or streamed.
pub struct ResponseBody {
    body: Http1Body,
    /// The request of a streamed response, completed at the end of the stream.
    stream: Option<StreamingRequest>,
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            body: bytes.into(),
            stream: None,
        }
    }
}

impl From<Http1Body> for ResponseBody {
    fn from(body: Http1Body) -> Self {
        Self { body, stream: None }
    }
}

impl ResponseBody {
    /// Whether the whole body is available.
    pub fn is_complete(&self) -> bool {
        self.body.is_complete()
    }

    /// Registers a request that is completed when this streamed body ends.
    pub fn track_stream(&mut self, request: StreamingRequest) {
        self.stream = Some(request);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let has_ended = frame.is_none() || self.body.is_end_stream();
        if let Some(stream) = self.stream.as_mut().filter(|_| has_ended) {
            stream.complete();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Creates a response without a body.
pub fn status(code: StatusCode) -> CallerResponse {
    let mut response = Response::new(ResponseBody::from(Bytes::new()));
    *response.status_mut() = code;
    response
}

/// Creates a response with a line of text.
pub fn text(code: StatusCode, text: &'static str) -> CallerResponse {
    let mut response = status(code);
    *response.body_mut() = Bytes::from_static(text.as_bytes()).into();
    response
}

/// Creates a rejection with status 503, and with a `Retry-After` header unless `retry_after` is zero.
pub fn rejection(retry_after: Duration) -> CallerResponse {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    if retry_after > Duration::ZERO
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
    {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
