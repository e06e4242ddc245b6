//! One request at one upstream, up to the head of its answer or, where it is no stream, to its end.

use super::Front;
use super::pool::{PoolError, Pooled};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, HeaderName, HeaderValue};
use hyper::http::request;
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use woadstall_inbound::lock;
use woadstall_routing::{Outcome, Target};
use woadstall_transport::{Outgoing, closes, end_to_end};

/// The header that carries a request's id, there and back.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// The header with the milliseconds that are left.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("deadline");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
const PRIORITY: HeaderName = HeaderName::from_static("priority");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const RESPONSE_STAMP: HeaderName = HeaderName::from_static("response-stamp");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Bytes of an answer at most that is read whole before it is passed on.
const MOST_WHOLE: usize = 8 << 20;

/// A request as it goes to upstreams.
pub(crate) struct Outbound {
    /// The client's head, without what concerned its connection.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// Its id.
    pub id: HeaderValue,
    /// Its rank among others at the upstream.
    pub priority: u8,
    /// When it must be answered.
    pub deadline: Instant,
    /// Whether its answer is passed on as it comes.
    pub is_stream: bool,
}

/// What came of an attempt.
pub(crate) enum Attempted {
    /// Nothing was sent.
    NotSent,
    /// The upstream says that it has not run it.
    Rejected,
    /// It may have run, and there is no answer.
    Broken,
    /// Its time was over; it may have run.
    TimedOut,
    /// A whole answer.
    Whole(Parts, Bytes),
    /// The head of an answer whose body comes.
    Begun(Box<Begun>),
}

/// An answer that has begun.
pub(crate) struct Begun {
    pub parts: Parts,
    pub body: Incoming,
    pub connection: Pooled,
    pub held: Held,
}

/// A request's place at an upstream. Dropped, it is given up.
pub(crate) struct Held {
    front: Arc<Front>,
    pub target: Target,
    outcome: Outcome,
    /// Tokens that the upstream has still to read.
    unread: u64,
}

impl Held {
    pub fn new(front: &Arc<Front>, target: Target) -> Self {
        let unread = target.prefill_tokens;
        Self {
            front: front.clone(),
            target,
            outcome: Outcome::Cancelled,
            unread,
        }
    }

    /// Something has come from the upstream.
    pub fn heard(&mut self) {
        let read = std::mem::take(&mut self.unread);
        lock(&self.front.router).record_activity(self.front.now(), &self.target.id, read);
    }

    /// Ends it.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let now = self.front.now();
        lock(&self.front.router).finish(now, &self.target.id, self.outcome, self.unread);
    }
}

/// Sends a request to an upstream.
pub(crate) async fn attempt(front: &Arc<Front>, outbound: &Outbound, target: Target) -> Attempted {
    let held = Held::new(front, target);
    let taken = timeout_at(outbound.deadline, front.pool.take(&held.target)).await;
    let connection = match taken {
        Ok(Ok(connection)) => connection,
        Ok(Err(PoolError::Full)) => {
            held.end(Outcome::Rejected);
            return Attempted::NotSent;
        }
        Ok(Err(PoolError::Unreachable(error))) => {
            log::debug!("unreachable upstream={}: {error}", held.target.id);
            held.end(Outcome::ConnectFailed);
            return Attempted::NotSent;
        }
        Err(_) => return Attempted::NotSent,
    };
    // It may have been told to drain, or its zone evacuated, while the connection came up.
    if !lock(&front.router).is_usable(&held.target.id) {
        return Attempted::NotSent;
    }
    exchange(front, outbound, connection, held).await
}

async fn exchange(
    front: &Arc<Front>,
    outbound: &Outbound,
    mut connection: Pooled,
    held: Held,
) -> Attempted {
    let progress = connection.progress.clone();
    let body = Outgoing::new(outbound.body.clone(), progress.clone());
    let request = request_for(outbound, &held.target, body);
    let sent = timeout_at(outbound.deadline, connection.sender.send_request(request)).await;
    let was_written = || progress.written.load(Ordering::Relaxed);
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            log::debug!("broken upstream={}: {error}", held.target.id);
            let was_written = was_written();
            // An idle connection that its upstream has just closed says nothing of the upstream.
            held.end(if connection.is_reused && !was_written {
                Outcome::Cancelled
            } else {
                Outcome::ConnectionError
            });
            return if was_written {
                Attempted::Broken
            } else {
                Attempted::NotSent
            };
        }
        Err(_) if was_written() => {
            held.end(Outcome::TimedOut);
            return Attempted::TimedOut;
        }
        Err(_) => return Attempted::NotSent,
    };
    let (mut parts, body) = response.into_parts();
    if is_rejection(&parts, &outbound.id) {
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            log::info!(
                "another instance answers at the address of upstream={}",
                held.target.id
            );
            held.end(Outcome::ConnectFailed);
        } else {
            held.end(Outcome::Rejected);
        }
        return Attempted::Rejected;
    }
    if !is_answer(&parts, &outbound.id) {
        log::info!(
            "no answer to the request upstream={} status={}",
            held.target.id,
            parts.status
        );
        held.end(Outcome::ConnectionError);
        return Attempted::Broken;
    }
    let is_error = parts.status.is_server_error();
    if is_error {
        lock(&front.router).record_activity(front.now(), &held.target.id, 0);
    } else {
        lock(&front.router).record_response(front.now(), &held.target.id);
    }
    let keep = keep_alive(&parts);
    end_to_end(&mut parts.headers);
    if outbound.is_stream && parts.status.is_success() {
        parts.extensions.insert(keep);
        return Attempted::Begun(Box::new(Begun {
            parts,
            body,
            connection,
            held,
        }));
    }
    match timeout_at(outbound.deadline, whole(body)).await {
        Ok(Some(bytes)) => {
            give_back(front, connection, &held, keep);
            held.end(if is_error {
                Outcome::UpstreamError
            } else {
                Outcome::Answered
            });
            Attempted::Whole(parts, bytes)
        }
        Ok(None) => {
            held.end(Outcome::ConnectionError);
            Attempted::Broken
        }
        Err(_) => {
            held.end(Outcome::TimedOut);
            Attempted::TimedOut
        }
    }
}

/// Whether, and for how long, an upstream keeps a connection open behind its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Keep {
    /// It closes it.
    Closes,
    /// It does not say.
    Unsaid,
    /// For so long.
    For(Duration),
}

/// Keeps a connection whose answer has come to its end.
pub(crate) fn give_back(front: &Arc<Front>, mut connection: Pooled, held: &Held, keep: Keep) {
    let keep = match keep {
        Keep::Closes => return,
        Keep::Unsaid => None,
        Keep::For(time) => Some(time),
    };
    if !connection.progress.written.load(Ordering::Relaxed) {
        return;
    }
    connection
        .progress
        .answer_due
        .store(false, Ordering::Relaxed);
    let (front, id) = (front.clone(), held.target.id.clone());
    tokio::spawn(async move {
        if connection.sender.ready().await.is_ok() {
            front.pool.put(&id, connection, keep);
        }
    });
}

fn request_for(outbound: &Outbound, target: &Target, body: Outgoing) -> Request<Outgoing> {
    let mut request = Request::new(body);
    *request.method_mut() = outbound.head.method.clone();
    *request.uri_mut() = outbound.head.uri.clone();
    let headers = request.headers_mut();
    *headers = outbound.head.headers.clone();
    let left = outbound
        .deadline
        .saturating_duration_since(Instant::now())
        .as_millis();
    headers.insert(
        DEADLINE,
        HeaderValue::from(u64::try_from(left).unwrap_or(u64::MAX).max(1)),
    );
    headers.insert(PRIORITY, HeaderValue::from(u16::from(outbound.priority)));
    if let Ok(id) = HeaderValue::from_str(&target.id) {
        headers.insert(EXPECT_INSTANCE, id);
    }
    request
}

/// Whether an answer says that its upstream did not run the request.
fn is_rejection(parts: &Parts, id: &HeaderValue) -> bool {
    let own = parts
        .headers
        .get(REQUEST_ID)
        .is_none_or(|other| other == id);
    let said =
        parts.headers.contains_key(NOT_EXECUTED) || parts.status == StatusCode::MISDIRECTED_REQUEST;
    own && said && !parts.status.is_success()
}

/// Whether an answer belongs to the request and is its upstream's own.
fn is_answer(parts: &Parts, id: &HeaderValue) -> bool {
    let headers = &parts.headers;
    let own = headers.get(REQUEST_ID) == Some(id);
    let sound = !parts.status.is_success()
        || headers.contains_key(RESPONSE_STAMP) && !headers.contains_key(CONTENT_ENCODING);
    own && sound && !parts.status.is_informational()
}

fn keep_alive(parts: &Parts) -> Keep {
    if closes(parts) {
        return Keep::Closes;
    }
    let value = parts
        .headers
        .get(KEEP_ALIVE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("");
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse().ok());
    seconds.map_or(Keep::Unsaid, |seconds| {
        Keep::For(Duration::from_secs(seconds))
    })
}

/// The whole body; `None` where it breaks off or is larger than any may be.
async fn whole(mut body: Incoming) -> Option<Bytes> {
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if all.len() + data.len() > MOST_WHOLE {
            return None;
        }
        all.extend_from_slice(&data);
    }
    Some(all.freeze())
}
