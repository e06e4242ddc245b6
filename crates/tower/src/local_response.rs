//! Responses that no upstream made: rejections and failures, in the form that the caller's library reads.

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use std::time::Duration;
use woadstall_transport::{ResponseBody, grpc_status, is_grpc};

/// Milliseconds until a retry is welcome (gRFC A6, server pushback).
const GRPC_RETRY_PUSHBACK: HeaderName = HeaderName::from_static("grpc-retry-pushback-ms");

/// How the caller's library reads the status of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseFormat {
    /// By the status of HTTP.
    Http,
    /// By `grpc-status`, in headers that are the trailers too (gRPC over HTTP/2, Trailers-Only).
    Grpc,
}

impl ResponseFormat {
    /// The format that suits a request with these headers.
    pub(crate) fn for_request(headers: &HeaderMap) -> Self {
        if is_grpc(headers) {
            Self::Grpc
        } else {
            Self::Http
        }
    }

    /// Rejected: a retry is harmless, after `retry_after` if that is not zero.
    pub(crate) fn rejected(self, retry_after: Duration) -> Response<ResponseBody> {
        let mut response = match self {
            Self::Grpc => trailers_only(
                grpc_status::UNAVAILABLE,
                "refused; trying again is harmless",
            ),
            Self::Http => with_status(StatusCode::SERVICE_UNAVAILABLE),
        };
        if retry_after > Duration::ZERO {
            let (name, value) = self.retry_header(retry_after);
            response.headers_mut().insert(name, value);
        }
        response
    }

    /// Failed, and it may have run.
    pub(crate) fn failed(self) -> Response<ResponseBody> {
        match self {
            Self::Grpc => trailers_only(grpc_status::UNKNOWN, "failed; it may have run"),
            Self::Http => with_status(StatusCode::BAD_GATEWAY),
        }
    }

    /// The caller's own body could not be read; nothing was sent.
    pub(crate) fn unreadable_body(self) -> Response<ResponseBody> {
        match self {
            Self::Grpc => trailers_only(
                grpc_status::CANCELLED,
                "the request's body could not be read; nothing was sent",
            ),
            Self::Http => with_status(StatusCode::BAD_REQUEST),
        }
    }

    /// The body is larger than the protocol towards the upstreams takes; nothing was sent.
    pub(crate) fn body_too_large(self) -> Response<ResponseBody> {
        match self {
            Self::Grpc => trailers_only(
                grpc_status::RESOURCE_EXHAUSTED,
                "the request's body is too large; nothing was sent",
            ),
            Self::Http => with_status(StatusCode::PAYLOAD_TOO_LARGE),
        }
    }

    /// The header that says when a retry is welcome: milliseconds for gRPC, else seconds to three digits.
    fn retry_header(self, retry_after: Duration) -> (HeaderName, HeaderValue) {
        match self {
            Self::Grpc => {
                let millis = retry_after.as_millis().to_string();
                (GRPC_RETRY_PUSHBACK, numeric_value(&millis))
            }
            Self::Http => {
                let seconds = format!("{:.3}", retry_after.as_secs_f64());
                (RETRY_AFTER, numeric_value(&seconds))
            }
        }
    }
}

/// A number's text as a header's value.
fn numeric_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("0"))
}

fn trailers_only(status: u32, message: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::new(Default::default()));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
    headers.insert("grpc-status", numeric_value(&status.to_string()));
    headers.insert("grpc-message", HeaderValue::from_static(message));
    response
}

fn with_status(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::new(Default::default()));
    *response.status_mut() = status;
    response
}
