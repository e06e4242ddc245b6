//! Response bodies, complete or streamed.

use super::connection::StreamLease;
use super::send_body::BodySender;
use crate::classify::classify_grpc;
use bytes::Bytes;
use h2::RecvStream;
use http::HeaderMap;
use http_body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::time::{Instant, Sleep, sleep_until};
use woadstall_runtime::ResponseTail;
use woadstall_runtime::engine::Outcome;

/// The body of an upstream's response.
pub struct ResponseBody {
    /// Data that has been received and not yet read.
    data: VecDeque<Bytes>,
    trailers: Option<HeaderMap>,
    streaming: Option<Box<StreamingBody>>,
}

/// The error with which a streamed response ends prematurely.
#[derive(Debug, thiserror::Error)]
pub enum ResponseBodyError {
    /// The stream ended with an error.
    #[error("response stream failed: {0}")]
    Broken(#[source] h2::Error),
    /// The response had not ended by the caller's deadline.
    #[error("response did not end before the caller's deadline")]
    DeadlineExceeded,
}

impl ResponseBody {
    /// Creates a complete body without trailers.
    pub fn new(data: Bytes) -> Self {
        let data = if data.is_empty() {
            VecDeque::new()
        } else {
            [data].into()
        };
        Self {
            data,
            trailers: None,
            streaming: None,
        }
    }

    /// Creates a complete body.
    pub(super) fn buffered(data: Vec<Bytes>, trailers: Option<HeaderMap>) -> Self {
        Self {
            data: data.into(),
            trailers,
            streaming: None,
        }
    }

    /// Creates a body of which `data` has been received.
    pub(super) fn streaming(data: Vec<Bytes>, rest: StreamingBody) -> Self {
        Self {
            data: data.into(),
            trailers: None,
            streaming: Some(Box::new(rest)),
        }
    }
}

/// The part of a response body that has not been received yet.
pub(super) struct StreamingBody {
    body: RecvStream,
    lease: StreamLease,
    /// Sends the rest of the request body until the response ends or is dropped.
    _body_sender: BodySender,
    tail: Option<ResponseTail>,
    deadline: Option<Pin<Box<Sleep>>>,
    is_grpc: bool,
    has_ended: bool,
}

impl StreamingBody {
    pub fn new(
        body: RecvStream,
        lease: StreamLease,
        body_sender: BodySender,
        tail: ResponseTail,
        deadline: Option<Instant>,
        is_grpc: bool,
    ) -> Self {
        Self {
            body,
            lease,
            _body_sender: body_sender,
            tail: Some(tail),
            deadline: deadline.map(|deadline| Box::pin(sleep_until(deadline))),
            is_grpc,
            has_ended: false,
        }
    }

    fn end(&mut self, outcome: Outcome) {
        self.has_ended = true;
        if let Some(tail) = self.tail.take() {
            tail.end(outcome);
        }
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        if let Some(deadline) = &mut self.deadline
            && deadline.as_mut().poll(cx).is_ready()
        {
            self.end(Outcome::Cancelled);
            return Poll::Ready(Some(Err(ResponseBodyError::DeadlineExceeded)));
        }
        match ready!(self.body.poll_data(cx)) {
            Some(Ok(data)) => {
                self.lease.record_received();
                self.body.flow_control().release_capacity(data.len()).ok();
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
            Some(Err(error)) => return Poll::Ready(Some(Err(self.end_with_error(error)))),
            None => {}
        }
        match ready!(self.body.poll_trailers(cx)) {
            Ok(trailers) => {
                self.end(self.outcome(trailers.as_ref()));
                Poll::Ready(trailers.map(|trailers| Ok(Frame::trailers(trailers))))
            }
            Err(error) => Poll::Ready(Some(Err(self.end_with_error(error)))),
        }
    }

    /// The outcome of a response that has ended.
    fn outcome(&self, trailers: Option<&HeaderMap>) -> Outcome {
        if !self.is_grpc {
            return Outcome::Ok;
        }
        classify_grpc(trailers.unwrap_or(&HeaderMap::new())).outcome
    }

    fn end_with_error(&mut self, error: h2::Error) -> ResponseBodyError {
        self.lease.close_connection();
        self.end(Outcome::Reset);
        ResponseBodyError::Broken(error)
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        if let Some(data) = self.data.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if let Some(streaming) = self.streaming.as_mut() {
            let frame = ready!(streaming.poll_frame(cx));
            if streaming.has_ended {
                self.streaming = None;
            }
            return Poll::Ready(frame);
        }
        Poll::Ready(
            self.trailers
                .take()
                .map(|trailers| Ok(Frame::trailers(trailers))),
        )
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.trailers.is_none() && self.streaming.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.data.iter().map(|data| data.len() as u64).sum();
        if self.streaming.is_none() {
            return SizeHint::with_exact(length);
        }
        let mut hint = SizeHint::new();
        hint.set_lower(length);
        hint
    }
}
