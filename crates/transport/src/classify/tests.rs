//! Tests of the classification of HTTP and gRPC statuses.

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

/// Guards against a request that must not run twice being retried: `Outcome::Full` permits that retry, so it may result
/// only where the upstream cannot have executed the request.
#[test]
fn each_status_has_its_classification() {
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
    for &(status, extra_trailers, outcome, is_final) in cases {
        let mut trailers = headers(extra_trailers);
        trailers.insert("grpc-status", status.parse().unwrap());
        assert_eq!(
            classify_grpc(&trailers),
            Classification { outcome, is_final },
            "{status} {extra_trailers:?}"
        );
    }
    assert_eq!(
        classify_grpc(&headers(&[])),
        Classification::retryable(Outcome::Error)
    );
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
    for &(status, is_rejected, outcome, is_final) in http_cases {
        let headers = if is_rejected {
            headers(REJECTED)
        } else {
            headers(&[])
        };
        let status = StatusCode::from_u16(status).unwrap();
        assert_eq!(
            classify_http(status, &headers),
            Classification { outcome, is_final },
            "{status} {is_rejected}"
        );
    }
}
