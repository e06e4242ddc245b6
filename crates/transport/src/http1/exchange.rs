//! One request and its answer on a connection.

use super::answer::Rest;
use super::connection::{Connection, Outgoing};
use super::load_report;
use crate::classify::{self, Class};
use crate::shared::named_by_connection;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::header::HeaderName;
use hyper::http::response::Parts;
use hyper::{Request, Response, Version};
use std::sync::atomic::Ordering;
use woadstall_runtime::engine::{AttemptEnd, Outcome};

/// How an attempt ended, with the answer if it is whole and the connection if it can be used again.
pub(super) struct Finished {
    pub outcome: Outcome,
    is_final: bool,
    pub response: Option<Response<Bytes>>,
    pub connection: Option<Connection>,
}

impl Finished {
    /// The end as the runtime takes it, with the load report by these fields.
    pub fn ended(self, fields: &[String]) -> AttemptEnd<Response<Bytes>> {
        let report = self
            .response
            .as_ref()
            .and_then(|response| response.headers().get("x-load-report"));
        let load = report.and_then(|report| load_report(report.as_bytes(), fields));
        AttemptEnd {
            outcome: self.outcome,
            response: self.response.filter(|_| self.is_final),
            load,
        }
    }
}

impl From<Outcome> for Finished {
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
pub(super) enum Exchanged {
    Finished(Finished),
    Begun(Response<Rest>),
}

impl From<Outcome> for Exchanged {
    fn from(outcome: Outcome) -> Self {
        Self::Finished(outcome.into())
    }
}

/// How long answers may be.
#[derive(Clone, Copy)]
pub(super) struct Sizes {
    /// Read whole.
    pub whole: usize,
    /// In all: what is between these is passed on as it comes.
    pub most: usize,
}

/// Bytes of a large answer that must have come before it is passed on: a spoilt one that claims to be large
/// hardly has more, and can still be tried again.
const BEGIN_AT: usize = 4 << 10;

/// Sends a request on a connection and waits for its answer, whole or, where it is larger, its beginning.
pub(super) async fn exchange(
    request: Request<Bytes>,
    mut connection: Connection,
    sizes: Sizes,
) -> Exchanged {
    let progress = connection.progress.clone();
    let (head, body) = request.into_parts();
    let body = Outgoing::new(body, progress.clone());
    let broken = || match progress.written.load(Ordering::Relaxed) {
        true => Outcome::Reset,
        false => Outcome::ConnectFailed,
    };
    let response = match connection
        .sender
        .send_request(Request::from_parts(head, body))
        .await
    {
        Ok(response) => response,
        Err(error) => {
            if error.is_parse() {
                connection.note_spoilt();
            }
            return broken().into();
        }
    };
    let (head, mut body) = response.into_parts();
    let Class { outcome, is_final } = classify::http(head.status, &head.headers);
    let length = body.size_hint().exact();
    if body.size_hint().lower() > sizes.most as u64 {
        return Outcome::Error.into(); // larger than any answer may be
    }
    let may_begin = is_final && sizes.most > sizes.whole;
    let begin_at = match length {
        Some(length) if length > sizes.whole as u64 => BEGIN_AT,
        _ => sizes.whole,
    };
    let mut first = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return broken().into();
        };
        let Ok(data) = frame.into_data() else {
            continue;
        }; // trailers belong to the connection
        first.extend_from_slice(&data);
        if first.len() > begin_at {
            if !may_begin || first.len() > sizes.most {
                return Outcome::Error.into(); // larger than any answer may be
            }
            let left = sizes.most - first.len();
            let rest = Rest::new(first.freeze(), length, left, body, connection);
            return Exchanged::Begun(Response::from_parts(head, rest));
        }
    }
    progress.answer_due.store(false, Ordering::Relaxed);
    let stays = !closes(&head);
    let connection = kept(connection, stays).await;
    let response = Some(Response::from_parts(head, first.freeze()));
    Exchanged::Finished(Finished {
        outcome,
        is_final,
        response,
        connection,
    })
}

/// Whether an upstream says that it closes the connection behind its answer.
pub fn closes(head: &Parts) -> bool {
    let named = |name: HeaderName| name == "close";
    head.version < Version::HTTP_11 || named_by_connection(&head.headers).into_iter().any(named)
}

/// A connection that can be used again. It is ready by now unless its upstream closes it; an answer to a request that was
/// not yet written to its end leaves one behind that may never be.
async fn kept(mut connection: Connection, stays: bool) -> Option<Connection> {
    if !connection.progress.written.load(Ordering::Relaxed) {
        return None;
    }
    let ready = connection.sender.ready().await.is_ok();
    if stays && !ready {
        connection.note_spoilt(); // more came than its answer
    }
    ready.then_some(connection)
}
