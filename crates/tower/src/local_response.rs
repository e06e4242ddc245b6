//! Responses that the plug-in creates itself: rejections and failures, in the form that the caller's library expects.

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use std::time::Duration;
use woadstall_transport::{ResponseBody, grpc_status, is_grpc};

/// Header with the time after which the client may retry, in milliseconds (gRFC A6, server pushback).
const GRPC_RETRY_PUSHBACK: HeaderName = HeaderName::from_static("grpc-retry-pushback-ms");

/// The form in which a response carries its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseFormat {
    /// As the HTTP status.
    Http,
    /// As `grpc-status` in a response without body or separate trailers (gRPC over HTTP/2, Trailers-Only).
    Grpc,
}

impl ResponseFormat {
    /// The format for the response to a request with these headers.
    pub(crate) fn for_request(headers: &HeaderMap) -> Self {
        if is_grpc(headers) {
            Self::Grpc
        } else {
            Self::Http
        }
    }

    /// The response to a request that was not executed, so that a retry is safe. Advises the client to retry after
    /// `retry_after`, unless that is zero.
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

    /// The response to a request that failed and may have been executed.
    pub(crate) fn failed(self) -> Response<ResponseBody> {
        match self {
            Self::Grpc => trailers_only(grpc_status::UNKNOWN, "failed; it may have run"),
            Self::Http => with_status(StatusCode::BAD_GATEWAY),
        }
    }

    /// The response to a request whose body failed before anything was sent.
    pub(crate) fn unreadable_body(self) -> Response<ResponseBody> {
        match self {
            Self::Grpc => trailers_only(
                grpc_status::CANCELLED,
                "the request's body could not be read; nothing was sent",
            ),
            Self::Http => with_status(StatusCode::BAD_REQUEST),
        }
    }

    /// The response to a request whose body exceeds the replay limit, which HTTP/1.1 upstreams cannot receive. Nothing
    /// was sent.
    pub(crate) fn body_too_large(self) -> Response<ResponseBody> {
        match self {
            Self::Grpc => trailers_only(
                grpc_status::RESOURCE_EXHAUSTED,
                "the request's body is too large; nothing was sent",
            ),
            Self::Http => with_status(StatusCode::PAYLOAD_TOO_LARGE),
        }
    }

    /// The header that advises when to retry: in milliseconds for gRPC, otherwise in seconds with three decimals.
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

/// Converts the text of a number to a header value.
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
