//! What came back, and can the request have run? The tables of docs/plugin.md, in code.

use http::{HeaderMap, StatusCode};
use woadstall_runtime::engine::Outcome;

#[cfg(all(test, feature = "http2"))]
mod tests;

/// What is known of an attempt from what came back, and whether that is the final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Classification {
    /// The outcome for the decision module.
    pub outcome: Outcome,
    /// It is passed on to the caller as it is.
    pub is_final: bool,
}

impl Classification {
    /// The response is the final one.
    const fn final_response(outcome: Outcome) -> Self {
        Self {
            outcome,
            is_final: true,
        }
    }

    /// Another attempt may follow.
    const fn retryable(outcome: Outcome) -> Self {
        Self {
            outcome,
            is_final: false,
        }
    }
}

/// Whether an upstream says that it has rejected a request without running it.
fn is_rejected(headers: &HeaderMap) -> bool {
    headers.get("x-rejected").is_some_and(|value| value == "1")
}

/// A complete HTTP response, by its status.
pub fn classify_http(status: StatusCode, headers: &HeaderMap) -> Classification {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected(headers) => {
            Classification::retryable(Outcome::Full)
        }
        // 408 and 429 are about the connection and the load; all else of its kind is about the request.
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

/// Status codes of gRPC that matter here (grpc/doc/statuscodes.md).
pub mod grpc_status {
    /// Success.
    pub const OK: u32 = 0;
    /// The caller cancelled the call.
    pub const CANCELLED: u32 = 1;
    /// An error that is not known better.
    pub const UNKNOWN: u32 = 2;
    /// The deadline has passed.
    pub const DEADLINE_EXCEEDED: u32 = 4;
    /// A quota or a resource is used up.
    pub const RESOURCE_EXHAUSTED: u32 = 8;
    /// An invariant of the server is broken.
    pub const INTERNAL: u32 = 13;
    /// The service is unavailable at present.
    pub const UNAVAILABLE: u32 = 14;
    /// Data is lost or corrupted.
    pub const DATA_LOSS: u32 = 15;
}

/// The end of a gRPC call, by its trailers, or by its headers where these are all there is.
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
        // From the wire alone it cannot be told whether it ran.
        Some(UNAVAILABLE) => Classification::retryable(Outcome::Error),
        Some(DEADLINE_EXCEEDED) => Classification::retryable(Outcome::Timeout),
        // The server's own failures: final, as what they mean is between caller and server, but it failed.
        Some(UNKNOWN | INTERNAL | DATA_LOSS) => Classification::final_response(Outcome::Error),
        Some(_) => Classification::final_response(Outcome::Declined),
        // No status at all: the peer does not keep to the protocol.
        None => Classification::retryable(Outcome::Error),
    }
}

/// A stream that broke (RFC 9113, sections 5.4 and 6.8).
#[cfg(feature = "http2")]
pub fn classify_stream_error(error: &h2::Error) -> Outcome {
    // GOAWAY: h2 ends with it those streams alone that lie above the last one the peer may have acted on.
    if error.is_go_away() && error.is_remote() {
        return Outcome::Moot;
    }
    // REFUSED_STREAM: closed before any of it was processed (RFC 9113, section 8.7).
    let is_refused = error.reason() == Some(h2::Reason::REFUSED_STREAM);
    if error.is_reset() && error.is_remote() && is_refused {
        return Outcome::Full;
    }
    Outcome::Reset
}
