//! Tests of parsing timeouts from headers.

use super::*;
use woadstall_transport::grpc_timeout_of;

#[test]
fn malformed_grpc_timeouts_are_ignored() {
    for unreadable in ["", "m", "123456789m", "-1m", "1 m", "1x", "é", "1µ"] {
        assert_eq!(parse_grpc_timeout(unreadable), None, "{unreadable:?}");
    }
}

/// Guards against upstreams being given more time than the caller has left: the formatted timeout must be rounded down
/// and have at most eight digits.
#[test]
fn formatted_timeouts_are_parsed_back() {
    for nanos in [
        0,
        1,
        99_999_999,
        100_000_000,
        123_456_789_012,
        7 << 50,
        u64::MAX,
    ] {
        let text = grpc_timeout_of(nanos);
        let read = parse_grpc_timeout(&text).unwrap().as_nanos() as u64;
        assert!(
            text.len() <= 9 && read <= nanos && (nanos - read) as f64 <= nanos as f64 * 1e-4,
            "{text}"
        );
    }
}
