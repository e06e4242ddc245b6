//! Parsing of the caller's timeout from request headers.

use http::HeaderMap;
use std::time::Duration;

/// Upper limit of all timeouts. Longer timeouts are shortened to it.
pub(crate) const MAX_TIMEOUT: Duration = Duration::from_secs(3600);

/// Maximum number of digits of `grpc-timeout` (gRPC over HTTP/2, Timeout).
const MAX_GRPC_TIMEOUT_DIGITS: usize = 8;

/// The value of a header, if the header is present and its value is text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The shorter of the timeouts in the headers `x-budget` (seconds) and `grpc-timeout`. Invalid values are ignored.
pub(crate) fn timeout_from_headers(headers: &HeaderMap) -> Option<Duration> {
    let budget = header_text(headers, "x-budget").and_then(|text| text.parse().ok());
    let budget = budget.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let timeout = header_text(headers, "grpc-timeout").and_then(parse_grpc_timeout);
    budget.into_iter().chain(timeout).min()
}

/// Parses a value of `grpc-timeout`: one to eight digits and a unit (gRPC over HTTP/2, Timeout).
fn parse_grpc_timeout(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if digits.is_empty()
        || digits.len() > MAX_GRPC_TIMEOUT_DIGITS
        || !digits.bytes().all(|byte| byte.is_ascii_digit())
    {
        return None;
    }
    let count: u64 = digits.parse().ok()?;
    Some(match unit {
        "H" => Duration::from_secs(count * 3600),
        "M" => Duration::from_secs(count * 60),
        "S" => Duration::from_secs(count),
        "m" => Duration::from_millis(count),
        "u" => Duration::from_micros(count),
        "n" => Duration::from_nanos(count),
        _ => return None,
    })
}

#[cfg(test)]
mod tests;
