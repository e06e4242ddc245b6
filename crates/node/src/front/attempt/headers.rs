//! Headers of requests to upstreams and of responses from upstreams.

use super::ForwardedRequest;
use hyper::header::{CONTENT_ENCODING, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use std::time::Duration;
use tokio::time::Instant;
use woadstall_routing::Target;
use woadstall_transport::{RequestBody, closes_connection};

/// Identifier of a request. The upstream repeats the identifier in its response.
pub(in crate::front) const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Time left to answer a request, in milliseconds.
pub(in crate::front) const DEADLINE: HeaderName = HeaderName::from_static("deadline");
/// Id of the upstream that a request is addressed to. A different instance at the same address
/// rejects the request with status 421.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
/// Priority of a request; 0 is the highest.
const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Response header that says that the upstream did not execute the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Response header that shows that a successful response was written by the upstream's application
/// and not by an intermediary.
const RESPONSE_STAMP: HeaderName = HeaderName::from_static("response-stamp");
/// Response header with the time for which the upstream keeps the idle connection open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Persistence of a connection after a response, as announced by the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::front) enum KeepAlive {
    /// The upstream closes the connection after the response.
    Close,
    /// The upstream keeps the connection open and announces no time-out.
    Unspecified,
    /// The upstream closes the connection after this time without a request.
    Timeout(Duration),
}

/// Builds the request that is sent to a target: the client's head with the headers of this attempt.
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

/// Returns whether a response says that the upstream did not execute the request with this id.
pub(super) fn is_rejection(parts: &Parts, id: &HeaderValue) -> bool {
    let id_matches = parts
        .headers
        .get(REQUEST_ID)
        .is_none_or(|other| other == id);
    let is_rejected =
        parts.headers.contains_key(NOT_EXECUTED) || parts.status == StatusCode::MISDIRECTED_REQUEST;
    id_matches && is_rejected && !parts.status.is_success()
}

/// Returns whether a response belongs to the request with this id. A successful response must also
/// carry the stamp of the upstream's application and have no content encoding.
pub(super) fn is_valid_response(parts: &Parts, id: &HeaderValue) -> bool {
    let headers = &parts.headers;
    let id_matches = headers.get(REQUEST_ID) == Some(id);
    let is_unaltered =
        headers.contains_key(RESPONSE_STAMP) && !headers.contains_key(CONTENT_ENCODING);
    id_matches && (is_unaltered || !parts.status.is_success()) && !parts.status.is_informational()
}

/// Reads the persistence of the connection from the headers of a response.
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
