//! Answers that no upstream made: refusals and failures, in the form that the caller's library reads.

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use std::time::Duration;
use woadstall_transport::ResponseBody;
use woadstall_transport::grpc_status;

fn number(text: String) -> HeaderValue {
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("0"))
}

fn trailers_only(status: u32, message: &'static str) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::new(Default::default()));
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
    headers.insert("grpc-status", number(status.to_string()));
    headers.insert("grpc-message", HeaderValue::from_static(message));
    answer
}

fn status(status: StatusCode) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::new(Default::default()));
    *answer.status_mut() = status;
    answer
}

/// Refused: trying again is harmless, after a while if that is not zero.
pub(crate) fn refused(grpc: bool, stay_away: Duration) -> Response<ResponseBody> {
    let mut answer = match grpc {
        true => trailers_only(
            grpc_status::UNAVAILABLE,
            "refused; trying again is harmless",
        ),
        false => status(StatusCode::SERVICE_UNAVAILABLE),
    };
    if stay_away > Duration::ZERO {
        let (name, value) = match grpc {
            true => (
                "grpc-retry-pushback-ms".parse(),
                stay_away.as_millis().to_string(),
            ),
            false => (Ok(RETRY_AFTER), format!("{:.3}", stay_away.as_secs_f64())),
        };
        name.into_iter().for_each(|name: http::HeaderName| {
            answer.headers_mut().insert(name, number(value.clone()));
        });
    }
    answer
}

/// Failed, with no promise on its effect.
pub(crate) fn failed(grpc: bool) -> Response<ResponseBody> {
    match grpc {
        true => trailers_only(grpc_status::UNKNOWN, "failed; it may have run"),
        false => status(StatusCode::BAD_GATEWAY),
    }
}

/// The caller's own body could not be read; nothing was sent.
pub(crate) fn unreadable(grpc: bool) -> Response<ResponseBody> {
    match grpc {
        true => trailers_only(
            grpc_status::CANCELLED,
            "the request's body could not be read; nothing was sent",
        ),
        false => status(StatusCode::BAD_REQUEST),
    }
}

/// The body is larger than the wire to the upstreams takes; nothing was sent.
pub(crate) fn too_large(grpc: bool) -> Response<ResponseBody> {
    match grpc {
        true => trailers_only(
            grpc_status::RESOURCE_EXHAUSTED,
            "the request's body is too large; nothing was sent",
        ),
        false => status(StatusCode::PAYLOAD_TOO_LARGE),
    }
}
