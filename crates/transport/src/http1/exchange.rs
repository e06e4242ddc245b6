//! One request and its response on a connection.

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

/// Bytes of a large response that must have come before it is passed on: a broken one that claims to be large hardly has
/// more, and can still be retried.
const STREAMING_THRESHOLD: usize = 4 << 10;

/// How an attempt ended.
pub(super) struct CompletedExchange {
    pub outcome: Outcome,
    is_final: bool,
    /// The response, if all of it came.
    pub response: Option<Response<Bytes>>,
    /// The connection, if it can be used again.
    pub connection: Option<Connection>,
}

impl CompletedExchange {
    /// The end as the runtime takes it, with the load report by these fields.
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

/// What came of a request on a connection.
pub(super) enum Exchange {
    /// The attempt has ended.
    Completed(CompletedExchange),
    /// The final response has started, and is too large to wait for its end.
    Started(Response<StreamingBody>),
}

impl From<Outcome> for Exchange {
    fn from(outcome: Outcome) -> Self {
        Self::Completed(outcome.into())
    }
}

/// How large responses may be, in bytes.
#[derive(Clone, Copy)]
pub(super) struct SizeLimits {
    /// Up to this, a response is read to its end before it is passed on.
    pub buffered: usize,
    /// In all: a response between the two is passed on as it comes.
    pub max: usize,
}

/// Sends a request on a connection and waits for its response, or for its beginning where it is large.
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
            broken_outcome(&connection).into()
        }
    }
}

/// The outcome where a connection breaks: only a request whose last byte was not written is known not to have run.
fn broken_outcome(connection: &Connection) -> Outcome {
    match connection.progress.written.load(Ordering::Relaxed) {
        true => Outcome::Reset,
        false => Outcome::ConnectFailed,
    }
}

/// Reads a response to its end, or to where it is passed on as it comes.
async fn receive(
    response: Response<hyper::body::Incoming>,
    connection: Connection,
    limits: SizeLimits,
) -> Exchange {
    let (head, mut body) = response.into_parts();
    let Classification { outcome, is_final } = classify_http(head.status, &head.headers);
    let length = body.size_hint().exact();
    if body.size_hint().lower() > limits.max as u64 {
        return Outcome::Error.into(); // larger than any response may be
    }
    let may_stream = is_final && limits.max > limits.buffered;
    let buffer_limit = match length {
        Some(length) if length > limits.buffered as u64 => STREAMING_THRESHOLD,
        _ => limits.buffered,
    };
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return broken_outcome(&connection).into();
        };
        let Ok(data) = frame.into_data() else {
            continue;
        }; // trailers belong to the connection
        received.extend_from_slice(&data);
        if received.len() <= buffer_limit {
            continue;
        }
        if !may_stream || received.len() > limits.max {
            return Outcome::Error.into(); // larger than any response may be
        }
        let allowance = limits.max - received.len();
        let body = StreamingBody::new(received.freeze(), length, allowance, body, connection);
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

/// Whether an upstream says that it closes the connection after its response.
pub fn closes_connection(head: &Parts) -> bool {
    let is_close = |name: HeaderName| name == "close";
    head.version < Version::HTTP_11 || connection_options(&head.headers).into_iter().any(is_close)
}

/// The connection, if it can be used again. It is ready by now unless its upstream closes it; a response to a request that
/// was not yet written to its end leaves one behind that may never be.
async fn reusable(mut connection: Connection, keeps_alive: bool) -> Option<Connection> {
    if !connection.progress.written.load(Ordering::Relaxed) {
        return None;
    }
    let is_ready = connection.sender.ready().await.is_ok();
    if keeps_alive && !is_ready {
        connection.record_violation(); // more came than its response
    }
    is_ready.then_some(connection)
}
