//! Parses callers' requests and reads their bodies.

use super::ServiceSettings;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use std::time::Duration;
use woadstall_decisions::api::Effect;

/// Time after a change of settings during which callers may still use the previous definition of a class, since their
/// copies of the settings may be updated later.
const CHANGE_GRACE: Duration = Duration::from_secs(3);
/// Maximum value of `X-Budget`.
const MAX_BUDGET: Duration = Duration::from_secs(3600);
/// Headers that must not be repeated, since caller and upstream could use different values of a repeated header.
const SINGLE_HEADERS: [&str; 6] = [
    "x-call-id",
    "x-call-class",
    "x-caller",
    "x-budget",
    "x-call-cost",
    "idempotency-key",
];

/// The reason for rejecting a request.
#[derive(Clone, Copy, Debug)]
pub struct Rejection {
    /// Status of the response.
    pub code: StatusCode,
    /// Body of the response: one line that names the error.
    pub text: &'static str,
}

impl Rejection {
    /// Creates a rejection with a status and a line of text.
    pub const fn new(code: StatusCode, text: &'static str) -> Self {
        Self { code, text }
    }

    const fn bad_request(text: &'static str) -> Self {
        Self::new(StatusCode::BAD_REQUEST, text)
    }
}

/// The parameters of a request.
pub struct CallRequest {
    /// Id chosen by the caller (`X-Call-Id`).
    pub call_id: String,
    /// Index of the class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// Time that the caller waits, measured from the last byte of the request.
    pub budget: Duration,
    /// Estimated amount of work in nanoseconds; `None` without an estimate of the caller.
    pub work: Option<u64>,
}

impl CallRequest {
    /// Parses the parameters of a request according to the active settings.
    ///
    /// # Errors
    ///
    /// Fails if path, method and headers do not match a class, or if a header is missing, repeated or malformed.
    pub fn parse(
        request: &Request<Incoming>,
        settings: &ServiceSettings,
    ) -> Result<Self, Rejection> {
        let headers = request.headers();
        let class = class_of(request, settings)?;
        if SINGLE_HEADERS
            .iter()
            .any(|name| headers.get_all(*name).iter().nth(1).is_some())
        {
            return Err(Rejection::bad_request("a header is there twice\n"));
        }
        let call_id = header_text(headers, "x-call-id").filter(|id| !id.is_empty());
        let tenant = settings.active.tenant(header_text(headers, "x-caller"));
        Ok(Self {
            call_id: call_id
                .ok_or(Rejection::bad_request(
                    "X-Call-Id is missing or malformed\n",
                ))?
                .to_owned(),
            class,
            tenant: tenant.ok_or(Rejection::bad_request("X-Caller is missing or not known\n"))?,
            budget: parse_budget(headers)
                .ok_or(Rejection::bad_request("X-Budget is missing or malformed\n"))?,
            work: parse_work(headers)?,
        })
    }
}

/// Determines the class of a request from its path, class header and method.
fn class_of(request: &Request<Incoming>, settings: &ServiceSettings) -> Result<usize, Rejection> {
    let (headers, name) = (request.headers(), class_in_path(request));
    let mut classes = classes_named(settings, name).peekable();
    let first = *classes
        .peek()
        .ok_or(Rejection::new(StatusCode::NOT_FOUND, "no such path\n"))?;
    if header_text(headers, "x-call-class") != Some(name) {
        return Err(Rejection::bad_request(
            "X-Call-Class is missing or not that of the path\n",
        ));
    }
    let has_key = header_text(headers, "idempotency-key").is_some_and(|key| !key.is_empty());
    let fits = |class: &usize| match settings.active.effect(*class) {
        Effect::Safe => request.method() == Method::GET,
        Effect::Keyed(..) => request.method() == Method::POST && has_key,
        Effect::Unsafe => request.method() == Method::POST,
    };
    classes
        .find(fits)
        .ok_or_else(|| match settings.active.effect(first) {
            Effect::Keyed(..) if !has_key => Rejection::bad_request("Idempotency-Key is missing\n"),
            _ => Rejection::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "not the method of this class\n",
            ),
        })
}

/// Returns the classes that a name may refer to: the active class and, within [`CHANGE_GRACE`] after a change of
/// settings, the previous one.
fn classes_named(settings: &ServiceSettings, name: &str) -> impl Iterator<Item = usize> {
    let is_recent = settings
        .changed_at
        .is_some_and(|since| since.elapsed() < CHANGE_GRACE);
    let previous = settings.active.previous_class(name).filter(|_| is_recent);
    settings.active.class(name).into_iter().chain(previous)
}

/// Parses the `X-Budget` header; `None` if it is missing, malformed or above [`MAX_BUDGET`].
fn parse_budget(headers: &HeaderMap) -> Option<Duration> {
    let seconds = header_text(headers, "x-budget")?.parse().ok()?;
    Duration::try_from_secs_f64(seconds)
        .ok()
        .filter(|budget| *budget <= MAX_BUDGET)
}

/// Parses the optional `X-Call-Cost` header, whose unit is microseconds, as nanoseconds.
fn parse_work(headers: &HeaderMap) -> Result<Option<u64>, Rejection> {
    if !headers.contains_key("x-call-cost") {
        return Ok(None);
    }
    let micros = header_text(headers, "x-call-cost").and_then(|cost| cost.parse::<f64>().ok());
    let valid = micros.filter(|micros| micros.is_finite() && *micros >= 0.0);
    let micros = valid.ok_or(Rejection::bad_request("X-Call-Cost is malformed\n"))?;
    Ok(Some((micros * 1e3) as u64))
}

/// Returns the first segment of a request's path, which names the class.
pub fn class_in_path(request: &Request<Incoming>) -> &str {
    request.uri().path().split('/').nth(1).unwrap_or("")
}

/// Returns the value of a header; `None` if the header is missing or its value is not visible ASCII.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Rejection of a body larger than [`MAX_BODY_BYTES`].
pub const TOO_LARGE: Rejection =
    Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MiB\n");
