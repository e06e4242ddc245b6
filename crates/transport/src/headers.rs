//! What both protocols, and the fronts, need of headers.

use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, DATE, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};

/// The headers that a message says belong to its connection alone (RFC 9110, section 7.6.1).
pub fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    names.filter_map(|name| name.trim().parse().ok()).collect()
}

/// Removes the headers that are meant for this connection alone, and leaves those for the other end.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named = connection_options(headers);
    let hop_by_hop = [
        CONNECTION,
        CONTENT_LENGTH,
        DATE,
        EXPECT,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    let others = ["keep-alive", "proxy-connection", "x-load-report"].map(HeaderName::from_static);
    for name in hop_by_hop.into_iter().chain(others).chain(named) {
        headers.remove(name);
    }
}

/// Whether a message is one of gRPC.
pub fn is_grpc(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(b"application/grpc"))
}
