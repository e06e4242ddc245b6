//! Heads of requests to upstreams.

use crate::headers::connection_options;
use crate::outbound_request::OutboundRequest;
use http::header::{CONNECTION, HOST, HeaderName, TE, TRANSFER_ENCODING, UPGRADE};
use http::uri::{self, Authority, PathAndQuery, Scheme};
use http::{HeaderMap, HeaderValue, Method, Request, Uri, Version};
use std::net::SocketAddr;
use tokio::time::Duration;

const X_BUDGET: HeaderName = HeaderName::from_static("x-budget");
const GRPC_TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");
/// The largest number that fits the eight digits of a `grpc-timeout`.
const MAX_GRPC_TIMEOUT: u64 = 99_999_999;
const NANOS_PER_HOUR: u64 = 3_600_000_000_000;

/// Creates the head of a request to an upstream: the caller's head without the headers that apply to one connection.
pub(super) fn forwarded_head(request: &OutboundRequest, address: SocketAddr) -> Request<()> {
    let mut head = Request::new(());
    *head.method_mut() = request.head.method.clone();
    *head.version_mut() = Version::HTTP_2;
    *head.headers_mut() = request.head.headers.clone();
    let host = head.headers_mut().remove(HOST);
    remove_connection_headers(head.headers_mut());
    *head.uri_mut() = forwarded_uri(request, host.as_ref(), address);
    head
}

/// Removes the headers that apply to one connection (RFC 9113, section 8.2.2).
fn remove_connection_headers(headers: &mut HeaderMap) {
    let options = connection_options(headers);
    let others = ["keep-alive", "proxy-connection"].map(HeaderName::from_static);
    for name in [CONNECTION, TRANSFER_ENCODING, UPGRADE]
        .into_iter()
        .chain(others)
        .chain(options)
    {
        headers.remove(name);
    }
    if headers.get(TE).is_some_and(|value| value != "trailers") {
        headers.remove(TE);
    }
}

fn forwarded_uri(
    request: &OutboundRequest,
    host: Option<&HeaderValue>,
    address: SocketAddr,
) -> Uri {
    let uri = &request.head.uri;
    let host = host.and_then(|host| Authority::try_from(host.as_bytes()).ok());
    let authority = uri.authority().cloned().or(host);
    let has_path = |path: &&PathAndQuery| request.head.method != Method::CONNECT && **path != "";
    let path = uri.path_and_query().filter(has_path).cloned();
    let mut parts = uri::Parts::default();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = authority.or_else(|| Authority::try_from(address.to_string()).ok());
    parts.path_and_query = Some(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
    Uri::from_parts(parts).unwrap_or_default()
}

/// Sets the headers `x-budget` and, for gRPC, `grpc-timeout` to the time that the caller still waits.
pub(super) fn set_budget(head: &mut Request<()>, time_left: Duration, is_grpc: bool) {
    let headers = head.headers_mut();
    let seconds = format!("{}.{:06}", time_left.as_secs(), time_left.subsec_micros());
    headers.insert(X_BUDGET, sensitive_value(&seconds));
    if is_grpc {
        let timeout = grpc_timeout_of(time_left.as_nanos() as u64);
        headers.insert(GRPC_TIMEOUT, sensitive_value(&timeout));
    }
}

/// Creates a header value that is not added to the HPACK table (RFC 7541, section 7.1.3). The value differs with each
/// call, and would evict values that repeat.
fn sensitive_value(text: &str) -> HeaderValue {
    let mut value = HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("0"));
    value.set_sensitive(true);
    value
}

/// Formats a time in nanoseconds as a value of `grpc-timeout`: at most eight digits and a unit (gRPC over HTTP/2,
/// Timeout). Rounds down, so that the upstream is never given more time than is left.
pub fn grpc_timeout_of(nanos: u64) -> String {
    let units = [
        (1, 'n'),
        (1_000, 'u'),
        (1_000_000, 'm'),
        (1_000_000_000, 'S'),
        (60_000_000_000, 'M'),
    ];
    match units
        .into_iter()
        .find(|(unit, _)| nanos / unit <= MAX_GRPC_TIMEOUT)
    {
        Some((unit, letter)) => format!("{}{letter}", nanos / unit),
        None => format!("{}H", (nanos / NANOS_PER_HOUR).min(MAX_GRPC_TIMEOUT)),
    }
}
