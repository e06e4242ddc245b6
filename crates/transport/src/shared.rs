//! What both protocols, and the fronts, need of headers and locks.

use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, DATE, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The headers that a message says belong to its connection alone (RFC 9110, section 7.6.1).
pub fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Leaves the headers that are meant for the other end, not for this connection.
pub fn end_to_end(headers: &mut HeaderMap) {
    let named = named_by_connection(headers);
    let hop = [
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
    for name in hop.into_iter().chain(others).chain(named) {
        headers.remove(name);
    }
}

/// Whether a message is one of gRPC.
pub fn is_grpc(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"application/grpc"))
}

/// Locks, also where a thread has panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
