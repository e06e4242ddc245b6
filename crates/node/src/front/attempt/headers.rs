//! The headers of requests to upstreams and of their responses.

use super::ForwardedRequest;
use hyper::header::{CONTENT_ENCODING, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use std::time::Duration;
use tokio::time::Instant;
use woadstall_routing::Target;
use woadstall_transport::{RequestBody, closes_connection};

/// Identifies a request; its response repeats it.
pub(in crate::front) const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// The milliseconds that are left for a request.
pub(in crate::front) const DEADLINE: HeaderName = HeaderName::from_static("deadline");
/// The id of the upstream that a request is meant for; another one at its address rejects it with
/// 421.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
/// The priority of a request; 0 is the highest.
const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// In a response: the upstream did not execute the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// In a successful response: the upstream's application wrote it, not something between.
const RESPONSE_STAMP: HeaderName = HeaderName::from_static("response-stamp");
/// In a response: how long the connection is kept open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Whether, and for how long, an upstream keeps a connection open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::front) enum KeepAlive {
    /// It closes the connection.
    Close,
    /// It does not say.
    Unspecified,
    /// It closes the connection after this time without a request.
    Timeout(Duration),
}

/// The request as it is sent to a target.
pub(super) fn upstream_request(
    request: &ForwardedRequest,
    target: &Target,
    body: RequestBody,
) -> Request<RequestBody> {
    let mut result = Request::new(body);
    *result.method_mut() = request.head.method.clone();
    *result.uri_mut() = request.head.uri.clone();
    let headers = result.headers_mut();
    *headers = request.head.headers.clone();
    let remaining_ms = request
        .deadline
        .saturating_duration_since(Instant::now())
        .as_millis();
    let remaining_ms = u64::try_from(remaining_ms).unwrap_or(u64::MAX).max(1);
    headers.insert(DEADLINE, HeaderValue::from(remaining_ms));
    headers.insert(PRIORITY, HeaderValue::from(u16::from(request.priority)));
    if let Ok(id) = HeaderValue::from_str(&target.id) {
        headers.insert(EXPECT_INSTANCE, id);
    }
    result
}

/// Whether a response says that the upstream did not execute the request with this id.
pub(super) fn is_rejection(parts: &Parts, id: &HeaderValue) -> bool {
    let is_own = parts
        .headers
        .get(REQUEST_ID)
        .is_none_or(|other| other == id);
    let is_rejected =
        parts.headers.contains_key(NOT_EXECUTED) || parts.status == StatusCode::MISDIRECTED_REQUEST;
    is_own && is_rejected && !parts.status.is_success()
}

/// Whether a response belongs to the request with this id and was written by the upstream's
/// application.
pub(super) fn is_valid_response(parts: &Parts, id: &HeaderValue) -> bool {
    let headers = &parts.headers;
    let is_own = headers.get(REQUEST_ID) == Some(id);
    let is_intact = headers.contains_key(RESPONSE_STAMP) && !headers.contains_key(CONTENT_ENCODING);
    is_own && (is_intact || !parts.status.is_success()) && !parts.status.is_informational()
}

/// What a response says about its connection.
pub(super) fn keep_alive(parts: &Parts) -> KeepAlive {
    if closes_connection(parts) {
        return KeepAlive::Close;
    }
    let value = parts
        .headers
        .get(KEEP_ALIVE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("");
    let timeout = |parameter: &str| {
        let seconds = parameter.trim().strip_prefix("timeout=")?;
        seconds.trim().parse().ok()
    };
    match value.split(',').find_map(timeout) {
        Some(seconds) => KeepAlive::Timeout(Duration::from_secs(seconds)),
        None => KeepAlive::Unspecified,
    }
}
