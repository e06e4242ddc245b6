//! Receiving a response, until it is complete or must be streamed.

use super::connection::StreamLease;
use super::response_body::{ResponseBody, StreamingBody};
use super::send_body::BodySender;
use crate::classify::{Classification, classify_grpc, classify_http, classify_stream_error};
use crate::headers::is_grpc;
use bytes::Bytes;
use h2::RecvStream;
use h2::client::ResponseFuture;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Response, StatusCode};
use std::future::poll_fn;
use std::task::Poll;
use tokio::time::Instant;
use woadstall_runtime::AttemptProgress;
use woadstall_runtime::engine::AttemptEnd;

type Progress = AttemptProgress<Response<ResponseBody>>;

/// A stream on which a request is being sent.
pub(super) struct SentStream {
    pub body_sender: BodySender,
    pub lease: StreamLease,
    /// Responses up to this size in bytes are received completely before they are passed on.
    pub max_buffered: usize,
    /// Time by which a streamed response must have ended.
    pub deadline: Option<Instant>,
}

/// The part of a response that has been received.
struct Received {
    head: Response<()>,
    data: Vec<Bytes>,
    /// Length of `data` in bytes.
    length: usize,
    is_grpc: bool,
}

/// How far a body has been received.
enum BodyRead {
    /// The body is complete, with these trailers.
    Complete(Option<HeaderMap>),
    /// The body is incomplete, and the response must be streamed.
    Partial,
}

/// Receives a response until it is complete or must be streamed.
pub(super) async fn receive(response: ResponseFuture, mut stream: SentStream) -> Progress {
    let response = match response.await {
        Ok(response) => response,
        Err(error) => return end_with_error(&error, &stream.lease),
    };
    stream.lease.record_received();
    let (head, mut body) = response.into_parts();
    let is_grpc = is_grpc(&head.headers);
    let mut received = Received {
        head: Response::from_parts(head, ()),
        data: Vec::new(),
        length: 0,
        is_grpc,
    };
    // A Trailers-Only response, whose head carries the gRPC status.
    if is_grpc && received.head.status() == StatusCode::OK && body.is_end_stream() {
        return received.complete(None);
    }
    let by_head = classify_http(received.head.status(), received.head.headers());
    if !by_head.is_final && !is_grpc {
        return AttemptProgress::Ended(by_head.outcome.into());
    }
    match read_body(&mut received, &mut body, &mut stream).await {
        Ok(BodyRead::Complete(trailers)) => received.complete(trailers),
        Ok(BodyRead::Partial) => received.started(body, stream),
        Err(error) => end_with_error(&error, &stream.lease),
    }
}

/// Receives a body until it is complete or the response must be streamed.
async fn read_body(
    received: &mut Received,
    body: &mut RecvStream,
    stream: &mut SentStream,
) -> Result<BodyRead, h2::Error> {
    let min_bytes = received.min_bytes_to_receive(stream.max_buffered);
    loop {
        // Once enough is received for streaming, only the data that is already available is added.
        let next = if received.length >= min_bytes && received.length > 0 {
            match poll_fn(|cx| Poll::Ready(body.poll_data(cx))).await {
                Poll::Ready(next) => next,
                Poll::Pending => return Ok(BodyRead::Partial),
            }
        } else {
            body.data().await
        };
        stream.lease.record_received();
        let Some(data) = next.transpose()? else {
            return Ok(BodyRead::Complete(body.trailers().await?));
        };
        body.flow_control().release_capacity(data.len()).ok();
        received.length += data.len();
        received.data.push(data);
        if received.length > stream.max_buffered {
            return Ok(BodyRead::Partial);
        }
    }
}

/// Ends an attempt whose stream ended with an error.
fn end_with_error(error: &h2::Error, lease: &StreamLease) -> Progress {
    if error.is_go_away() || error.is_io() {
        lease.close_connection();
    }
    AttemptProgress::Ended(classify_stream_error(error).into())
}

impl Received {
    /// The number of body bytes to receive before the response is streamed. A gRPC response is streamed from its first
    /// data on. Another response is received completely if its `Content-Length` is at most `max_buffered`.
    fn min_bytes_to_receive(&self, max_buffered: usize) -> usize {
        if self.is_grpc {
            return 0;
        }
        let length = self.head.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
        length.filter(|length| *length <= max_buffered).unwrap_or(0)
    }

    /// Ends the attempt with a complete response.
    fn complete(self, trailers: Option<HeaderMap>) -> Progress {
        let Classification { outcome, is_final } = match self.is_grpc {
            // The status of a gRPC call is in its trailers, or in the head of a Trailers-Only response.
            true => classify_grpc(trailers.as_ref().unwrap_or(self.head.headers())),
            false => classify_http(self.head.status(), self.head.headers()),
        };
        let body = ResponseBody::buffered(self.data, trailers);
        let response = is_final.then(|| self.head.map(|()| body));
        AttemptProgress::Ended(AttemptEnd {
            outcome,
            response,
            load: None,
        })
    }

    /// Passes on the response that has been received so far, and streams its rest.
    fn started(self, body: RecvStream, stream: SentStream) -> Progress {
        let SentStream {
            lease,
            body_sender,
            deadline,
            ..
        } = stream;
        AttemptProgress::ResponseStarted(Box::new(move |tail| {
            let rest = StreamingBody::new(body, lease, body_sender, tail, deadline, self.is_grpc);
            self.head.map(|()| ResponseBody::streaming(self.data, rest))
        }))
    }
}
