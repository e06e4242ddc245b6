//! A client's request, from its head to its answer.

use super::Front;
use super::attempt::{Attempted, DEADLINE, Outbound, REQUEST_ID, attempt};
use super::course::Course;
use super::reply::{Reply, ReplyBody, refusal, text};
use super::stream;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use woadstall_control::configuration::{Configuration, Route, RouteType, WeightedService};
use woadstall_control::shards::short_hash;
use woadstall_inbound::{BodyRoom, lock};
use woadstall_request_reports::Cause;
use woadstall_routing::Prompt;
use woadstall_transport::end_to_end;

/// When a client may come back to a balancer that knows no configuration yet: about the time that an election and a snapshot
/// take.
const NO_CONFIGURATION: Duration = Duration::from_millis(1_200);
/// When one may come back whose body finds no room.
const NO_ROOM: Duration = Duration::from_millis(500);
/// The part of the memory that bodies of open requests may fill.
const BODIES: usize = 3;
/// Tokens of a shared beginning from which on it pays to go where it was read: reading them takes some ten milliseconds.
const LONG_PROMPT: u64 = 1_024;

/// Answers a request.
pub(super) async fn reply(front: &Arc<Front>, request: Request<Incoming>) -> Reply {
    let arrived = Instant::now();
    let Some(configuration) = front.configuration() else {
        return refusal(NO_CONFIGURATION);
    };
    let Some(route) = route_of(&configuration, &request) else {
        return text(StatusCode::NOT_FOUND, "no such route\n");
    };
    let Some(id) = request.headers().get(REQUEST_ID).cloned() else {
        return text(StatusCode::BAD_REQUEST, "Request-Id is missing\n");
    };
    let route = Arc::new(route.clone());
    let given = request
        .headers()
        .get(DEADLINE)
        .and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let patience = given
        .map_or(route.timeout, Duration::from_millis)
        .min(route.timeout);
    let (mut head, body) = request.into_parts();
    let mut room = BodyRoom::new(&front.bodies, front.settings.memory / BODIES);
    let body = match whole_body(body, &mut room, configuration.limits.max_body_bytes).await {
        Ok(body) => body,
        Err(reply) => return *reply,
    };
    let prompt = if route.session_affinity {
        prompt_of(&head.headers)
    } else {
        Prompt::default()
    };
    end_to_end(&mut head.headers);
    let service = target_service(&route).and_then(|name| configuration.services.get(name));
    let Some(service) = service.cloned().map(Arc::new) else {
        return text(StatusCode::BAD_GATEWAY, "the route has no service\n");
    };
    lock(&front.router).record_request(front.now(), &service.name);
    let outbound = Outbound {
        head,
        body,
        id,
        priority: route.priority,
        deadline: arrived + patience,
        is_stream: route.route_type == RouteType::Streaming,
    };
    let trace = front.reports.follow(&route, &service.name, prompt);
    let course = Course::new(route, service, prompt, NO_CONFIGURATION, trace);
    carry(front, course, outbound).await
}

/// Sends a request to upstreams until one answers or no further attempt may be made. An upstream's error is an answer too; where
/// the request may run again, it is given only if no other upstream does better.
async fn carry(front: &Arc<Front>, mut course: Course, outbound: Outbound) -> Reply {
    let mut error_answer = None;
    while let Ok(target) = course.next(front) {
        if Instant::now() >= outbound.deadline {
            break;
        }
        let attempted = attempt(front, &outbound, target).await;
        course.attempted(&attempted);
        match attempted {
            Attempted::NotSent | Attempted::Rejected => {}
            Attempted::Broken if course.route.is_idempotent() => {}
            Attempted::Broken => break,
            Attempted::TimedOut => {
                course.failed(Cause::TimedOut);
                return text(StatusCode::GATEWAY_TIMEOUT, "no answer came in time\n");
            }
            Attempted::Whole(parts, body) => {
                let is_error = parts.status.is_server_error();
                let answer = Response::from_parts(parts, ReplyBody::Whole(body));
                if !is_error {
                    course.answered();
                    return answer;
                }
                error_answer = Some(answer);
                if !course.route.is_idempotent() {
                    break;
                }
            }
            Attempted::Begun(begun) => {
                let parts = begun.parts.clone();
                return Response::from_parts(
                    parts,
                    stream::pass_on(front, course, outbound, *begun),
                );
            }
        }
    }
    match error_answer {
        Some(answer) => {
            course.failed(Cause::ErrorAnswer);
            answer
        }
        None => course.give_up(),
    }
}

fn route_of<'a>(
    configuration: &'a Configuration,
    request: &Request<Incoming>,
) -> Option<&'a Route> {
    let named = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = request
        .uri()
        .authority()
        .map(|authority| authority.as_str())
        .or(named)?;
    configuration.route(host, request.uri().path())
}

/// One of the route's services, drawn by their weights.
fn target_service(route: &Route) -> Option<&str> {
    let total: u64 = route.targets.iter().map(|target| target.weight).sum();
    let mut drawn = fastrand::u64(..total.max(1));
    for WeightedService { service, weight } in &route.targets {
        match drawn.checked_sub(*weight) {
            None => return Some(service),
            Some(rest) => drawn = rest,
        }
    }
    None
}

/// What a request tells of its prompt. What it shares with others is the parts up to the one that makes them long; the last
/// part is the request's own.
fn prompt_of(headers: &HeaderMap) -> Prompt {
    let value = headers
        .get("prompt-prefix")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("");
    let parts: Vec<(&str, u64)> = value
        .split(',')
        .filter_map(|part| part.trim().split_once(':'))
        .filter_map(|(id, tokens)| Some((id, tokens.trim().parse().ok()?)))
        .collect();
    let mut prompt = Prompt {
        total_tokens: parts.iter().map(|(_, tokens)| tokens).sum(),
        ..Prompt::default()
    };
    let Some((_, shared)) = parts.split_last() else {
        return prompt;
    };
    let mut ids = Vec::new();
    for (id, tokens) in shared {
        ids.push(*id);
        prompt.prefix_tokens += tokens;
        if prompt.prefix_tokens >= LONG_PROMPT {
            prompt.prefix_hash = Some(short_hash(&ids.join(",")));
            return prompt;
        }
    }
    Prompt {
        prefix_tokens: 0,
        ..prompt
    }
}

/// Reads a body to its end.
async fn whole_body(
    mut body: Incoming,
    room: &mut BodyRoom<'_>,
    most_bytes: usize,
) -> Result<Bytes, Box<Reply>> {
    let too_large = || {
        Box::new(text(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large\n",
        ))
    };
    if body.size_hint().lower() > most_bytes as u64 {
        return Err(too_large());
    }
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|_| Box::new(text(StatusCode::BAD_REQUEST, "the body is broken\n")))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if all.len() + data.len() > most_bytes {
            return Err(too_large());
        }
        if !room.grow(data.len()) {
            return Err(Box::new(refusal(NO_ROOM)));
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}
