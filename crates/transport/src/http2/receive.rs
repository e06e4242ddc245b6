//! Receiving a response, until it is complete or known to be the one that is passed on.

use super::connection::StreamLease;
use super::response_body::{ResponseBody, StreamingBody};
use super::send_body::BodyPump;
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

/// A stream whose request is on its way.
pub(super) struct SentStream {
    pub pump: BodyPump,
    pub lease: StreamLease,
    /// Up to this size in bytes, a response is read to its end before it is passed on.
    pub max_buffered: usize,
    /// When a response that is passed on as it comes must have ended.
    pub deadline: Option<Instant>,
}

/// What has come of a response.
struct Received {
    head: Response<()>,
    data: Vec<Bytes>,
    length: usize,
    is_grpc: bool,
}

/// How far a body was read.
enum BodyRead {
    /// To its end, with its trailers.
    Complete(Option<HeaderMap>),
    /// As far as it is read before the response is passed on.
    Partial,
}

/// Waits until a response is complete, or is known to be the one that is passed on.
pub(super) async fn receive(response: ResponseFuture, mut stream: SentStream) -> Progress {
    let response = match response.await {
        Ok(response) => response,
        Err(error) => return broken(&error, &stream.lease),
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
    if is_grpc && received.head.status() == StatusCode::OK && body.is_end_stream() {
        return received.complete(None);
    }
    let early = classify_http(received.head.status(), received.head.headers());
    if !early.is_final && !is_grpc {
        return AttemptProgress::Ended(early.outcome.into());
    }
    match read_body(&mut received, &mut body, &mut stream).await {
        Ok(BodyRead::Complete(trailers)) => received.complete(trailers),
        Ok(BodyRead::Partial) => received.started(body, stream),
        Err(error) => broken(&error, &stream.lease),
    }
}

/// Reads a body to its end, or until the response is to be passed on.
async fn read_body(
    received: &mut Received,
    body: &mut RecvStream,
    stream: &mut SentStream,
) -> Result<BodyRead, h2::Error> {
    let wait_for = received.bytes_to_wait_for(stream.max_buffered);
    loop {
        // Once there is something to pass on, only what has come already is taken along.
        let next = if received.length >= wait_for && received.length > 0 {
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

/// The end of an attempt whose stream broke.
fn broken(error: &h2::Error, lease: &StreamLease) -> Progress {
    if error.is_go_away() || error.is_io() {
        lease.close_connection();
    }
    AttemptProgress::Ended(classify_stream_error(error).into())
}

impl Received {
    /// How many bytes are waited for before the response is passed on. Messages of gRPC are passed on from the first one
    /// on; of other responses it is known how large they are.
    fn bytes_to_wait_for(&self, max_buffered: usize) -> usize {
        if self.is_grpc {
            return 0;
        }
        let length = self.head.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
        length.filter(|length| *length <= max_buffered).unwrap_or(0)
    }

    /// All of the response has come.
    fn complete(self, trailers: Option<HeaderMap>) -> Progress {
        let Classification { outcome, is_final } = match self.is_grpc {
            // What precedes the trailers is no answer yet; where there are none, the head has the status.
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

    /// The response is passed on as it comes.
    fn started(self, body: RecvStream, stream: SentStream) -> Progress {
        let SentStream {
            lease,
            pump,
            deadline,
            ..
        } = stream;
        AttemptProgress::ResponseStarted(Box::new(move |tail| {
            let rest = StreamingBody::new(body, lease, pump, tail, deadline, self.is_grpc);
            self.head.map(|()| ResponseBody::streaming(self.data, rest))
        }))
    }
}
