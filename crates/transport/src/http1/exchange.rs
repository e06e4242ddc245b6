//! Sending a request on a connection and receiving its response.

use super::body::StreamingBody;
use super::connection::Connection;
use super::load_report::load_report;
use super::progress::RequestBody;
use crate::classify::{Classification, classify_http};
use crate::headers::connection_options;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::header::HeaderName;
use hyper::http::response::Parts;
use hyper::{Request, Response, Version};
use std::sync::atomic::Ordering;
use woadstall_runtime::engine::{AttemptEnd, Outcome};

/// Number of bytes of a large response that are received before it is streamed. A broken response that announces a
/// large body rarely has more bytes than this, and can still be retried as long as none have been passed on.
const STREAMING_THRESHOLD: usize = 4 << 10;

/// The result of an attempt that has ended.
pub(super) struct CompletedExchange {
    pub outcome: Outcome,
    /// The response is passed on to the caller; otherwise another attempt may follow.
    is_final: bool,
    /// The response, if it was received completely.
    pub response: Option<Response<Bytes>>,
    /// The connection, if it can take another request.
    pub connection: Option<Connection>,
}

impl CompletedExchange {
    /// Converts the result for the runtime. The load report is read from the response header `x-load-report`, with
    /// `fields` in their order.
    pub fn into_attempt_end(self, fields: &[String]) -> AttemptEnd<Response<Bytes>> {
        let response = self.response.as_ref();
        let report = response.and_then(|response| response.headers().get("x-load-report"));
        let load = report.and_then(|report| load_report(report.as_bytes(), fields));
        let response = self.response.filter(|_| self.is_final);
        AttemptEnd {
            outcome: self.outcome,
            response,
            load,
        }
    }
}

impl From<Outcome> for CompletedExchange {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            is_final: false,
            response: None,
            connection: None,
        }
    }
}

/// The result of sending a request on a connection.
pub(super) enum Exchange {
    /// The attempt has ended.
    Completed(CompletedExchange),
    /// The final response has started, and is too large to be buffered.
    Started(Response<StreamingBody>),
}

impl From<Outcome> for Exchange {
    fn from(outcome: Outcome) -> Self {
        Self::Completed(outcome.into())
    }
}

/// Limits on the size of response bodies, in bytes.
#[derive(Clone, Copy)]
pub(super) struct SizeLimits {
    /// Responses up to this size are received completely before they are passed on.
    pub buffered: usize,
    /// Maximum size. Responses between `buffered` and `max` are streamed.
    pub max: usize,
}

/// Sends a request on a connection and waits for the response, or for the beginning of a large response.
pub(super) async fn exchange(
    request: Request<Bytes>,
    mut connection: Connection,
    limits: SizeLimits,
) -> Exchange {
    let (head, body) = request.into_parts();
    let body = RequestBody::new(body, connection.progress.clone());
    match connection
        .sender
        .send_request(Request::from_parts(head, body))
        .await
    {
        Ok(response) => receive(response, connection, limits).await,
        Err(error) => {
            if error.is_parse() {
                connection.record_violation();
            }
            outcome_of_broken_connection(&connection).into()
        }
    }
}

/// The outcome of an attempt whose connection broke. If the last byte of the request was not written, the upstream
/// cannot have executed the request; otherwise it may have.
fn outcome_of_broken_connection(connection: &Connection) -> Outcome {
    match connection.progress.written.load(Ordering::Relaxed) {
        true => Outcome::Reset,
        false => Outcome::ConnectFailed,
    }
}

/// Receives a response completely, or until it must be streamed.
async fn receive(
    response: Response<hyper::body::Incoming>,
    connection: Connection,
    limits: SizeLimits,
) -> Exchange {
    let (head, mut body) = response.into_parts();
    let Classification { outcome, is_final } = classify_http(head.status, &head.headers);
    let length = body.size_hint().exact();
    if body.size_hint().lower() > limits.max as u64 {
        return Outcome::Error.into(); // the response exceeds the size limit
    }
    let may_stream = is_final && limits.max > limits.buffered;
    let buffer_limit = match length {
        Some(length) if length > limits.buffered as u64 => STREAMING_THRESHOLD,
        _ => limits.buffered,
    };
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return outcome_of_broken_connection(&connection).into();
        };
        let Ok(data) = frame.into_data() else {
            continue;
        }; // trailers apply to this connection only
        received.extend_from_slice(&data);
        if received.len() <= buffer_limit {
            continue;
        }
        if !may_stream || received.len() > limits.max {
            return Outcome::Error.into(); // the response exceeds the size limit
        }
        let remaining_limit = limits.max - received.len();
        let body = StreamingBody::new(received.freeze(), length, remaining_limit, body, connection);
        return Exchange::Started(Response::from_parts(head, body));
    }
    connection
        .progress
        .response_due
        .store(false, Ordering::Relaxed);
    let keeps_alive = !closes_connection(&head);
    let connection = reusable(connection, keeps_alive).await;
    let response = Some(Response::from_parts(head, received.freeze()));
    Exchange::Completed(CompletedExchange {
        outcome,
        is_final,
        response,
        connection,
    })
}

/// Whether a response head announces that the upstream closes the connection after the response.
pub fn closes_connection(head: &Parts) -> bool {
    let is_close = |name: HeaderName| name == "close";
    head.version < Version::HTTP_11 || connection_options(&head.headers).into_iter().any(is_close)
}

/// Returns the connection if it can take another request. After a complete response hyper reports it as ready, unless
/// the upstream closes it. A connection whose response ended before the request was fully written might never become
/// ready and is closed.
async fn reusable(mut connection: Connection, keeps_alive: bool) -> Option<Connection> {
    if !connection.progress.written.load(Ordering::Relaxed) {
        return None;
    }
    let is_ready = connection.sender.ready().await.is_ok();
    if keeps_alive && !is_ready {
        connection.record_violation(); // bytes arrived after the response
    }
    is_ready.then_some(connection)
}
