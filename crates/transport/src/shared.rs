//! What both protocols, and the fronts, need of headers and locks.

use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderMap, HeaderName};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The headers that a message says belong to its connection alone (RFC 9110, section 7.6.1).
pub fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).filter_map(|name| name.trim().parse().ok()).collect()
}

/// Whether a message is one of gRPC.
pub fn is_grpc(headers: &HeaderMap) -> bool {
    headers.get(CONTENT_TYPE).is_some_and(|kind| kind.as_bytes().starts_with(b"application/grpc"))
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
