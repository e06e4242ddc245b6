//! Responses of an upstream over HTTP/1.1 and gRPC.

use crate::headers;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use std::convert::Infallible;
use woadstall_mock_servers::grpc::message;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Error that closes the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("connection closed by a simulated fault")]
pub struct ConnectionAborted;

/// The reason why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The upstream failed, possibly after part of the work.
    Error,
    /// The upstream rejected the request before any work.
    Rejected,
}

const GRPC_OK: &str = "0";
const GRPC_UNKNOWN: &str = "2";
const GRPC_UNAVAILABLE: &str = "14";
const GRPC_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/grpc");

/// Returns the response to a served request.
pub fn success(is_grpc: bool) -> Response<Body> {
    if !is_grpc {
        return Response::new(Full::new(Bytes::from_static(b"done")).boxed_unsync());
    }
    let status = (
        HeaderName::from_static("grpc-status"),
        HeaderValue::from_static(GRPC_OK),
    );
    let trailers: HeaderMap = [status].into_iter().collect();
    let body = Full::new(message(b"done")).with_trailers(async move { Some(Ok(trailers)) });
    let mut response = Response::new(body.boxed_unsync());
    response
        .headers_mut()
        .insert("content-type", GRPC_CONTENT_TYPE);
    response
}

/// Returns the response to a request that was not served.
pub fn failure(is_grpc: bool, kind: FailureKind) -> Response<Body> {
    let mut response = Response::new(Full::default().boxed_unsync());
    let (grpc_status, http_status) = match kind {
        FailureKind::Error => (GRPC_UNKNOWN, StatusCode::INTERNAL_SERVER_ERROR),
        FailureKind::Rejected => (GRPC_UNAVAILABLE, StatusCode::SERVICE_UNAVAILABLE),
    };
    if is_grpc {
        let headers = response.headers_mut();
        headers.insert("content-type", GRPC_CONTENT_TYPE);
        headers.insert("grpc-status", HeaderValue::from_static(grpc_status));
    } else {
        *response.status_mut() = http_status;
    }
    if kind == FailureKind::Rejected {
        response
            .headers_mut()
            .insert(headers::REJECTED, HeaderValue::from_static("1"));
    }
    response
}
