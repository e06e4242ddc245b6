//! HTTP requests and responses as the API sees them: a request is complete, with its body.

use super::request::RequestError;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::Full;
use percent_encoding::percent_decode_str;
use std::borrow::Cow;
use std::net::IpAddr;

/// A request.
#[derive(Clone, Debug)]
pub(in crate::core) struct HttpRequest {
    pub method: Method,
    /// The decoded path; `None` if it is not UTF-8.
    path: Option<String>,
    /// The query as it was sent, without the question mark.
    query: String,
    headers: HeaderMap,
    /// The address of the client.
    pub client: IpAddr,
    pub body: Bytes,
}

impl HttpRequest {
    /// A request with its head and its body.
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

    /// The decoded path.
    ///
    /// # Errors
    ///
    /// The path is not UTF-8: different names must not become the same one.
    pub fn path(&self) -> Result<&str, RequestError> {
        self.path.as_deref().ok_or(RequestError::InvalidPath)
    }

    /// The text of a header, if it is there.
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The decoded value of a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut parameters = form_urlencoded::parse(self.query.as_bytes());
        let found = parameters.find(|(found, _)| found == name);
        found.map(|(_, value)| value.into_owned())
    }
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::core) struct HttpResponse {
    pub status: u16,
    content_type: &'static str,
    body: Bytes,
}

impl HttpResponse {
    /// A text.
    pub fn text(status: u16, text: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            body: text.into(),
        }
    }

    /// A body that is JSON already.
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
