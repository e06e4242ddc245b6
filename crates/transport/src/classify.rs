//! Maps responses and stream errors to the outcomes of attempts, which say whether the request can have been executed.
//! The mappings implement the tables in docs/plugin.md.

use http::{HeaderMap, StatusCode};
use woadstall_runtime::engine::Outcome;

#[cfg(all(test, feature = "http2"))]
mod tests;

/// The outcome of an attempt, and whether its response is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Classification {
    /// The outcome for the decision module.
    pub outcome: Outcome,
    /// The response is passed on to the caller unchanged; otherwise another attempt may follow.
    pub is_final: bool,
}

impl Classification {
    const fn final_response(outcome: Outcome) -> Self {
        Self {
            outcome,
            is_final: true,
        }
    }

    const fn retryable(outcome: Outcome) -> Self {
        Self {
            outcome,
            is_final: false,
        }
    }
}

/// Whether the upstream declares that it rejected the request without executing it.
fn is_rejected(headers: &HeaderMap) -> bool {
    headers.get("x-rejected").is_some_and(|value| value == "1")
}

/// Classifies an HTTP response by its status.
pub fn classify_http(status: StatusCode, headers: &HeaderMap) -> Classification {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected(headers) => {
            Classification::retryable(Outcome::Full)
        }
        // 408 and 429 concern the connection and the load. All other 4xx statuses concern the request.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => {
            Classification::retryable(Outcome::Error)
        }
        status if status.is_client_error() => Classification::final_response(Outcome::Declined),
        status if status.is_success() || status.is_redirection() => {
            Classification::final_response(Outcome::Ok)
        }
        _ => Classification::retryable(Outcome::Error),
    }
}

/// The gRPC status codes that the balancer interprets or sends (grpc/doc/statuscodes.md).
pub mod grpc_status {
    /// Success.
    pub const OK: u32 = 0;
    /// The caller cancelled the call.
    pub const CANCELLED: u32 = 1;
    /// An error without further information.
    pub const UNKNOWN: u32 = 2;
    /// The deadline has passed.
    pub const DEADLINE_EXCEEDED: u32 = 4;
    /// A quota or a resource is exhausted.
    pub const RESOURCE_EXHAUSTED: u32 = 8;
    /// An invariant of the server is broken.
    pub const INTERNAL: u32 = 13;
    /// The service is unavailable at present.
    pub const UNAVAILABLE: u32 = 14;
    /// Data is lost or corrupted.
    pub const DATA_LOSS: u32 = 15;
}

/// Classifies the end of a gRPC call by its trailers; in a Trailers-Only response these are the response headers.
#[cfg(feature = "http2")]
pub fn classify_grpc(trailers: &HeaderMap) -> Classification {
    use grpc_status::{
        DATA_LOSS, DEADLINE_EXCEEDED, INTERNAL, OK, RESOURCE_EXHAUSTED, UNAVAILABLE, UNKNOWN,
    };
    let status = trailers
        .get("grpc-status")
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let has_pushback = trailers.contains_key("grpc-retry-pushback-ms");
    match status {
        Some(OK) => Classification::final_response(Outcome::Ok),
        Some(UNAVAILABLE | RESOURCE_EXHAUSTED) if is_rejected(trailers) => {
            Classification::retryable(Outcome::Full)
        }
        Some(RESOURCE_EXHAUSTED) if has_pushback => Classification::retryable(Outcome::Full),
        // UNAVAILABLE alone does not say whether the request was executed.
        Some(UNAVAILABLE) => Classification::retryable(Outcome::Error),
        Some(DEADLINE_EXCEEDED) => Classification::retryable(Outcome::Timeout),
        // Server failures are final, because only the caller can interpret them, and count as errors of the upstream.
        Some(UNKNOWN | INTERNAL | DATA_LOSS) => Classification::final_response(Outcome::Error),
        Some(_) => Classification::final_response(Outcome::Declined),
        // A missing or unreadable status violates the gRPC protocol.
        None => Classification::retryable(Outcome::Error),
    }
}

/// The outcome of an attempt whose stream ended with an error (RFC 9113, sections 5.4 and 6.8).
#[cfg(feature = "http2")]
pub fn classify_stream_error(error: &h2::Error) -> Outcome {
    // GOAWAY: h2 reports it only for streams above the last stream that the peer may have processed.
    if error.is_go_away() && error.is_remote() {
        return Outcome::Moot;
    }
    // REFUSED_STREAM: the peer closed the stream before it processed any of the request (RFC 9113, section 8.7).
    let is_refused = error.reason() == Some(h2::Reason::REFUSED_STREAM);
    if error.is_reset() && error.is_remote() && is_refused {
        return Outcome::Full;
    }
    Outcome::Reset
}
