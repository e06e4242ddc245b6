//! HTTP requests and responses of the API with complete bodies.

use super::request::RequestError;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::Full;
use percent_encoding::percent_decode_str;
use std::borrow::Cow;
use std::net::IpAddr;

/// HTTP request with its complete body.
#[derive(Clone, Debug)]
pub(in crate::core) struct HttpRequest {
    pub method: Method,
    /// Percent-decoded path; `None` if the path is not UTF-8.
    path: Option<String>,
    /// Encoded query without the question mark.
    query: String,
    headers: HeaderMap,
    /// IP address of the client.
    pub client: IpAddr,
    pub body: Bytes,
}

impl HttpRequest {
    /// Creates a request from its head and its body.
    pub fn new(head: Parts, body: Bytes, client: IpAddr) -> Self {
        let path = percent_decode_str(head.uri.path()).decode_utf8();
        Self {
            method: head.method,
            path: path.ok().map(Cow::into_owned),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            client,
            body,
        }
    }

    /// Returns the percent-decoded path.
    ///
    /// # Errors
    ///
    /// Fails if the path is not UTF-8. A lossy conversion could map different names to the same
    /// name.
    pub fn path(&self) -> Result<&str, RequestError> {
        self.path.as_deref().ok_or(RequestError::InvalidPath)
    }

    /// Returns the value of a header; `None` if the header is missing or not visible ASCII.
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the decoded value of a query parameter.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut parameters = form_urlencoded::parse(self.query.as_bytes());
        let found = parameters.find(|(found, _)| found == name);
        found.map(|(_, value)| value.into_owned())
    }
}

/// HTTP response with its complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::core) struct HttpResponse {
    pub status: u16,
    content_type: &'static str,
    body: Bytes,
}

impl HttpResponse {
    /// Creates a plain-text response.
    pub fn text(status: u16, text: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            body: text.into(),
        }
    }

    /// Creates a response whose body is serialized JSON.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type: "application/json",
            body: body.into(),
        }
    }
}

impl From<HttpResponse> for http::Response<Full<Bytes>> {
    fn from(response: HttpResponse) -> Self {
        let mut http = Self::new(Full::new(response.body));
        *http.status_mut() =
            StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let content_type = HeaderValue::from_static(response.content_type);
        http.headers_mut().insert(CONTENT_TYPE, content_type);
        http
    }
}
