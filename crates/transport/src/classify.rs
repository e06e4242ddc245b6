//! What came back, and has it run? The tables of docs/plugin.md, in code.

use http::{HeaderMap, StatusCode};
use woadstall_runtime::engine::Outcome;

/// What is known of an attempt from what came back, and whether that is the final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    /// What the module is told.
    pub outcome: Outcome,
    /// Passed on to the caller as it is.
    pub is_final: bool,
}

impl Class {
    const fn last(outcome: Outcome) -> Self {
        Self {
            outcome,
            is_final: true,
        }
    }

    const fn open(outcome: Outcome) -> Self {
        Self {
            outcome,
            is_final: false,
        }
    }
}

/// Whether an upstream says that it has turned a request away unseen.
fn rejected(headers: &HeaderMap) -> bool {
    headers.get("x-rejected").is_some_and(|value| value == "1")
}

/// A whole HTTP answer, by its status.
pub fn http(status: StatusCode, headers: &HeaderMap) -> Class {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected(headers) => {
            Class::open(Outcome::Full)
        }
        // 408 and 429 are about the connection and the load; all else of its kind is about the request.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Class::open(Outcome::Error),
        status if status.is_client_error() => Class::last(Outcome::Declined),
        status if status.is_success() || status.is_redirection() => Class::last(Outcome::Ok),
        _ => Class::open(Outcome::Error),
    }
}

/// Status codes of gRPC that matter here (grpc/doc/statuscodes.md).
pub mod code {
    #![allow(missing_docs)]
    pub const OK: u32 = 0;
    pub const CANCELLED: u32 = 1;
    pub const UNKNOWN: u32 = 2;
    pub const DEADLINE_EXCEEDED: u32 = 4;
    pub const RESOURCE_EXHAUSTED: u32 = 8;
    pub const INTERNAL: u32 = 13;
    pub const UNAVAILABLE: u32 = 14;
    pub const DATA_LOSS: u32 = 15;
}

/// The end of a gRPC call, by its trailers, or by its headers where these are all there is.
#[cfg(feature = "http2")]
pub fn grpc(trailers: &HeaderMap) -> Class {
    let status = trailers
        .get("grpc-status")
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let pushed_back = trailers.contains_key("grpc-retry-pushback-ms");
    match status {
        Some(code::OK) => Class::last(Outcome::Ok),
        Some(code::UNAVAILABLE | code::RESOURCE_EXHAUSTED) if rejected(trailers) => {
            Class::open(Outcome::Full)
        }
        Some(code::RESOURCE_EXHAUSTED) if pushed_back => Class::open(Outcome::Full),
        // From the wire alone it cannot be told whether it ran.
        Some(code::UNAVAILABLE) => Class::open(Outcome::Error),
        Some(code::DEADLINE_EXCEEDED) => Class::open(Outcome::Timeout),
        // The server's own failures: final, as what they mean is between caller and server, but it failed.
        Some(code::UNKNOWN | code::INTERNAL | code::DATA_LOSS) => Class::last(Outcome::Error),
        Some(_) => Class::last(Outcome::Declined),
        // No status at all: the peer does not keep to the protocol.
        None => Class::open(Outcome::Error),
    }
}

/// A stream that broke (RFC 9113, sections 5.4 and 6.8).
#[cfg(feature = "http2")]
pub fn broken(error: &h2::Error) -> Outcome {
    // GOAWAY: h2 ends with it those streams alone that lie above the last one the peer may have acted on.
    if error.is_go_away() && error.is_remote() {
        return Outcome::Moot;
    }
    // REFUSED_STREAM: closed before any of it was processed (RFC 9113, section 8.7).
    if error.is_reset() && error.is_remote() && error.reason() == Some(h2::Reason::REFUSED_STREAM) {
        return Outcome::Full;
    }
    Outcome::Reset
}

#[cfg(all(test, feature = "http2"))]
mod tests {
    use super::*;

    const REJECTED: Pairs = &[("x-rejected", "1")];
    const PUSHBACK: Pairs = &[("grpc-retry-pushback-ms", "40")];

    type Pairs = &'static [(&'static str, &'static str)];

    fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
        pairs
            .iter()
            .map(|(name, value)| (name.parse().unwrap(), value.parse().unwrap()))
            .collect()
    }

    /// Each row of the table. "Never ran" is what lets unsafe work be sent again: no row may claim it wrongly.
    #[test]
    fn each_status_has_its_outcome() {
        let cases: &[(&str, Pairs, Outcome, bool)] = &[
            ("0", &[], Outcome::Ok, true),
            ("14", &[], Outcome::Error, false),
            ("14", PUSHBACK, Outcome::Error, false),
            ("14", REJECTED, Outcome::Full, false),
            ("8", &[], Outcome::Declined, true),
            ("8", PUSHBACK, Outcome::Full, false),
            ("8", REJECTED, Outcome::Full, false),
            ("4", &[], Outcome::Timeout, false),
            ("4", REJECTED, Outcome::Timeout, false),
            ("1", &[], Outcome::Declined, true),
            ("2", &[], Outcome::Error, true),
            ("3", REJECTED, Outcome::Declined, true),
            ("13", &[], Outcome::Error, true),
            ("15", &[], Outcome::Error, true),
            ("16", &[], Outcome::Declined, true),
            ("99", &[], Outcome::Declined, true),
            ("", &[], Outcome::Error, false),
            ("-1", &[], Outcome::Error, false),
        ];
        for &(status, more, outcome, is_final) in cases {
            let mut trailers = headers(more);
            trailers.insert("grpc-status", status.parse().unwrap());
            assert_eq!(
                grpc(&trailers),
                Class { outcome, is_final },
                "{status} {more:?}"
            );
        }
        assert_eq!(grpc(&headers(&[])), Class::open(Outcome::Error));
        let http_cases: &[(u16, bool, Outcome, bool)] = &[
            (200, false, Outcome::Ok, true),
            (204, false, Outcome::Ok, true),
            (304, false, Outcome::Ok, true),
            (404, true, Outcome::Declined, true),
            (408, false, Outcome::Error, false),
            (429, false, Outcome::Error, false),
            (500, true, Outcome::Error, false),
            (503, false, Outcome::Error, false),
            (503, true, Outcome::Full, false),
            (504, true, Outcome::Full, false),
        ];
        for &(status, turned_away, outcome, is_final) in http_cases {
            let more = if turned_away {
                headers(REJECTED)
            } else {
                headers(&[])
            };
            let status = StatusCode::from_u16(status).unwrap();
            assert_eq!(
                http(status, &more),
                Class { outcome, is_final },
                "{status} {turned_away}"
            );
        }
    }
}
