//! The headers that callers, balancers and upstreams exchange.

use http::HeaderMap;

/// Identifies an attempt of a call.
pub const CALL_ID: &str = "x-call-id";
/// Name of the call's class.
pub const CALL_CLASS: &str = "x-call-class";
/// Time left for an attempt, in seconds.
pub const BUDGET: &str = "x-budget";
/// Tenant of the caller.
pub const TENANT: &str = "x-caller";
/// Marks an attempt as a retry by the caller.
pub const RETRY: &str = "x-again";
/// Marks a response as a rejection before any work.
pub const REJECTED: &str = "x-rejected";
/// Idempotency key of the call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Returns the value of a header if the value is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
