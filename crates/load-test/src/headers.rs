//! The headers that callers, balancers and upstreams exchange.

use http::HeaderMap;

/// Identifies an attempt of a call.
pub const CALL_ID: &str = "x-call-id";
/// The name of a call's class.
pub const CALL_CLASS: &str = "x-call-class";
/// The time left for an attempt, in seconds.
pub const BUDGET: &str = "x-budget";
/// The caller's tenant.
pub const TENANT: &str = "x-caller";
/// Marks a retry of the caller.
pub const RETRY: &str = "x-again";
/// Marks a response as a rejection before any work.
pub const REJECTED: &str = "x-rejected";
/// The key of idempotent work.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The value of a header, if it is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
