//! Header handling shared by the HTTP/1.1 and HTTP/2 transports and by the servers that accept requests.

use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, DATE, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};

/// Returns the connection options: the names listed in a message's `Connection` header (RFC 9110, section 7.6.1).
/// The headers of these names are hop-by-hop. Names that cannot be parsed are skipped.
pub fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    names.filter_map(|name| name.trim().parse().ok()).collect()
}

/// Removes the headers that apply to one connection only, and the other headers that are not forwarded:
/// `Content-Length`, `Date`, `Expect` and the upstream's load report (`x-load-report`).
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let options = connection_options(headers);
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
    for name in hop_by_hop.into_iter().chain(others).chain(options) {
        headers.remove(name);
    }
}

/// Whether the content type of a message is that of gRPC.
pub fn is_grpc(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(b"application/grpc"))
}
