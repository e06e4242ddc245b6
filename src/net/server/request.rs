//! Requests of callers: what they ask for, and their bodies.

use super::super::{InService, MOST_BODY};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use std::time::Duration;
use woadstall_decisions::api::Effect;
use woadstall_inbound::BodyMemory;

/// How long callers may still send a class as it was before new settings: theirs and our news of them cross.
const CROSSING: Duration = Duration::from_secs(3);
/// No caller waits for longer.
const MOST_BUDGET: Duration = Duration::from_secs(3600);
/// Headers that one side might read one way and the other another, were they there twice.
const ONLY_ONCE: [&str; 6] = [
    "x-call-id",
    "x-call-class",
    "x-caller",
    "x-budget",
    "x-call-cost",
    "idempotency-key",
];

/// Why a request cannot be taken.
#[derive(Clone, Copy, Debug)]
pub struct Rejection {
    /// The status that the caller gets.
    pub code: StatusCode,
    /// What is at fault, as a line.
    pub text: &'static str,
}

impl Rejection {
    /// A rejection with a status and a line of text.
    pub const fn new(code: StatusCode, text: &'static str) -> Self {
        Self { code, text }
    }

    const fn bad(text: &'static str) -> Self {
        Self::new(StatusCode::BAD_REQUEST, text)
    }
}

/// What a request asks for.
pub struct Asked {
    /// The caller's own id of it.
    pub call_id: String,
    /// Its class, as a position in the settings.
    pub class: usize,
    /// Its tenant, as a position in the settings.
    pub tenant: usize,
    /// How long its caller waits, from its last byte on.
    pub budget: Duration,
    /// Its work in nanoseconds, where the caller has a guess.
    pub work: Option<u64>,
}

impl Asked {
    /// Reads what a request asks for under the settings in force.
    pub fn read(request: &Request<Incoming>, in_service: &InService) -> Result<Self, Rejection> {
        let headers = request.headers();
        let class = class_of(request, in_service)?;
        if ONLY_ONCE
            .iter()
            .any(|name| headers.get_all(*name).iter().nth(1).is_some())
        {
            return Err(Rejection::bad("a header is there twice\n"));
        }
        let call_id = text(headers, "x-call-id").filter(|id| !id.is_empty());
        let tenant = in_service.terms.tenant(text(headers, "x-caller"));
        Ok(Self {
            call_id: call_id
                .ok_or(Rejection::bad("X-Call-Id is missing or malformed\n"))?
                .to_owned(),
            class,
            tenant: tenant.ok_or(Rejection::bad("X-Caller is missing or not known\n"))?,
            budget: budget(headers).ok_or(Rejection::bad("X-Budget is missing or malformed\n"))?,
            work: work(headers)?,
        })
    }
}

/// The class that a request means by its path, its header and its method.
fn class_of(request: &Request<Incoming>, in_service: &InService) -> Result<usize, Rejection> {
    let (headers, name) = (request.headers(), class_in_path(request));
    let mut classes = classes_named(in_service, name).peekable();
    let first = *classes
        .peek()
        .ok_or(Rejection::new(StatusCode::NOT_FOUND, "no such path\n"))?;
    if text(headers, "x-call-class") != Some(name) {
        return Err(Rejection::bad(
            "X-Call-Class is missing or not that of the path\n",
        ));
    }
    let keyed = text(headers, "idempotency-key").is_some_and(|key| !key.is_empty());
    let fits = |class: &usize| match in_service.terms.effect(*class) {
        Effect::Safe => request.method() == Method::GET,
        Effect::Keyed(..) => request.method() == Method::POST && keyed,
        Effect::Unsafe => request.method() == Method::POST,
    };
    classes
        .find(fits)
        .ok_or_else(|| match in_service.terms.effect(first) {
            Effect::Keyed(..) if !keyed => Rejection::bad("Idempotency-Key is missing\n"),
            _ => Rejection::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "not the method of this class\n",
            ),
        })
}

/// The classes that a request may mean by a name: the one in force, and while callers may not have heard of a change,
/// the one before.
fn classes_named(in_service: &InService, name: &str) -> impl Iterator<Item = usize> {
    let crossing = in_service
        .since
        .is_some_and(|since| since.elapsed() < CROSSING);
    let former = in_service.terms.previous_class(name).filter(|_| crossing);
    in_service.terms.class(name).into_iter().chain(former)
}

fn budget(headers: &HeaderMap) -> Option<Duration> {
    let seconds = text(headers, "x-budget")?.parse().ok()?;
    Duration::try_from_secs_f64(seconds)
        .ok()
        .filter(|budget| *budget <= MOST_BUDGET)
}

fn work(headers: &HeaderMap) -> Result<Option<u64>, Rejection> {
    if !headers.contains_key("x-call-cost") {
        return Ok(None);
    }
    let micros = text(headers, "x-call-cost").and_then(|cost| cost.parse::<f64>().ok());
    let sound = micros.filter(|micros| micros.is_finite() && *micros >= 0.0);
    let micros = sound.ok_or(Rejection::bad("X-Call-Cost is malformed\n"))?;
    Ok(Some((micros * 1e3) as u64))
}

/// The first part of a request's path: its class.
pub fn class_in_path(request: &Request<Incoming>) -> &str {
    request.uri().path().split('/').nth(1).unwrap_or("")
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads a body to its end; `None` if it finds no room. It need not mind its time: the caller is cut off.
pub async fn whole_body(
    mut body: Incoming,
    room: &mut BodyMemory<'_>,
) -> Result<Option<Bytes>, Rejection> {
    let mut all = BytesMut::new();
    if let Some(size) = body.size_hint().exact() {
        if !room.reserve(size as usize) {
            return Ok(None);
        }
        all.reserve(size as usize); // the system gives memory to what is written only
    }
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(Rejection::bad("the body is broken\n"));
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if all.len() + data.len() > MOST_BODY {
            return Err(TOO_LARGE);
        }
        let more = (all.len() + data.len()).saturating_sub(room.bytes());
        // Twice as much each time, as its buffer grows, and as much while it is moved.
        if more > 0 && !room.reserve(more.max(room.bytes())) {
            return Ok(None);
        }
        all.extend_from_slice(&data);
    }
    Ok(Some(all.freeze()))
}

/// The body is larger than any may be.
pub const TOO_LARGE: Rejection =
    Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MiB\n");
