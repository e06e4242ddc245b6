//! Handles one client request: finds the route, reads the body, and sends the request to upstreams
//! until one of them answers.

use super::attempt::{
    AttemptResult, DEADLINE, ForwardedRequest, REQUEST_ID, ResponseMode, attempt,
};
use super::prompt::prompt_of;
use super::response::{ClientResponse, ResponseBody, service_unavailable, text_response};
use super::retry::RetryState;
use super::shutdown::ShutdownPhase;
use super::state::Front;
use super::stream;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, Response, StatusCode};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;
use woadstall_control::configuration::{Configuration, Route, RouteType, Service};
use woadstall_inbound::{ConnectionState, ReadBodyError, lock, read_body};
use woadstall_request_reports::Cause;
use woadstall_routing::Prompt;
use woadstall_transport::remove_hop_by_hop_headers;

/// `Retry-After` time in responses of a front that has no configuration: about the duration of an
/// election and a snapshot transfer.
const NO_CONFIGURATION_RETRY: Duration = Duration::from_millis(1_200);
/// `Retry-After` time in the response to a request whose body does not fit into the memory for
/// bodies.
const OVERLOAD_RETRY: Duration = Duration::from_millis(500);
/// `Retry-After` time in responses of a front that accepts no requests any more. Other balancers serve the
/// client at once.
const SHUTDOWN_RETRY: Duration = Duration::from_millis(50);

/// Returns the response to a request whose body could not be read.
fn body_error_response(error: ReadBodyError) -> ClientResponse {
    match error {
        ReadBodyError::TooLarge => {
            text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n")
        }
        ReadBodyError::Broken => text_response(StatusCode::BAD_REQUEST, "the body is broken\n"),
        ReadBodyError::OutOfMemory => service_unavailable(OVERLOAD_RETRY),
    }
}

/// Forwards a client request and returns the response of an upstream or an error response. Records at
/// `connection` that the request has been received completely.
pub(super) async fn handle_request(
    front: &Arc<Front>,
    request: Request<Incoming>,
    connection: &Mutex<ConnectionState>,
) -> ClientResponse {
    let arrived = Instant::now();
    let Some(configuration) = front.configuration() else {
        return service_unavailable(NO_CONFIGURATION_RETRY);
    };
    let Some(route) = find_route(&configuration, &request) else {
        return text_response(StatusCode::NOT_FOUND, "no such route\n");
    };
    let Some(id) = request.headers().get(REQUEST_ID).cloned() else {
        return text_response(StatusCode::BAD_REQUEST, "Request-Id is missing\n");
    };
    let route = Arc::new(route.clone());
    let timeout = request_timeout(request.headers(), &route);
    let (mut head, body) = request.into_parts();
    let max_bytes = configuration.limits.max_body_bytes;
    let body = match read_body(body, max_bytes, &front.memory.request_bodies).await {
        Ok(body) => body,
        Err(error) => return body_error_response(error),
    };
    lock(connection).request_completed();
    if front.shutdown.has_reached(ShutdownPhase::NotAccepting) {
        return service_unavailable(SHUTDOWN_RETRY);
    }
    let prompt = if route.session_affinity {
        prompt_of(&head.headers)
    } else {
        Prompt::default()
    };
    remove_hop_by_hop_headers(&mut head.headers);
    let Some(service) = pick_service(&configuration, &route) else {
        return text_response(StatusCode::BAD_GATEWAY, "the route has no service\n");
    };
    lock(&front.router).record_request(front.now(), &service.name);
    let forwarded = ForwardedRequest {
        head,
        body,
        id,
        priority: route.priority,
        deadline: arrived + timeout,
        response_mode: if route.route_type == RouteType::Streaming {
            ResponseMode::Streaming
        } else {
            ResponseMode::Buffered
        },
    };
    let trace = front.reports.trace(&route, &service.name, prompt);
    let retries = RetryState::new(route, service, prompt, NO_CONFIGURATION_RETRY, trace);
    forward(front, retries, forwarded).await
}

/// Sends a request to upstreams until one answers or no further attempt may be made. The error
/// response of an upstream ends a request that is not idempotent. An idempotent request is retried,
/// and its last error response is returned only if no other upstream succeeds.
async fn forward(
    front: &Arc<Front>,
    mut retries: RetryState,
    request: ForwardedRequest,
) -> ClientResponse {
    let is_idempotent = retries.route.is_idempotent();
    let mut error_response = None;
    while let Ok(target) = retries.next_target(front) {
        if Instant::now() >= request.deadline {
            break;
        }
        let result = attempt(front, &request, target).await;
        retries.record(&result);
        match result {
            AttemptResult::NotSent | AttemptResult::Rejected => {}
            AttemptResult::Failed if is_idempotent => {}
            AttemptResult::Failed => break,
            AttemptResult::TimedOut => {
                retries.fail(Cause::TimedOut);
                return text_response(StatusCode::GATEWAY_TIMEOUT, "no answer came in time\n");
            }
            AttemptResult::Complete(parts, body) => {
                let is_error = parts.status.is_server_error();
                let response = Response::from_parts(parts, ResponseBody::Complete(body));
                if !is_error {
                    retries.complete();
                    return response;
                }
                error_response = Some(response);
                if !is_idempotent {
                    break;
                }
            }
            AttemptResult::Streaming(response) => {
                let parts = response.parts.clone();
                let body = stream::forward_stream(front, retries, request, *response);
                return Response::from_parts(parts, body);
            }
        }
    }
    match error_response {
        Some(response) => {
            retries.fail(Cause::ErrorResponse);
            response
        }
        None => retries.into_failure(),
    }
}

fn find_route<'a>(
    configuration: &'a Configuration,
    request: &Request<Incoming>,
) -> Option<&'a Route> {
    let host_header = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = request
        .uri()
        .authority()
        .map(|authority| authority.as_str())
        .or(host_header)?;
    configuration.route(host, request.uri().path())
}

/// Returns the time-out of a request: the milliseconds in its `Deadline` header, limited to the
/// route's time-out.
fn request_timeout(headers: &HeaderMap, route: &Route) -> Duration {
    headers
        .get(DEADLINE)
        .and_then(|value| value.to_str().ok()?.trim().parse().ok())
        .map_or(route.timeout, Duration::from_millis)
        .min(route.timeout)
}

/// Selects one of the route's services at random by weight; `None` if the selected service is not
/// configured.
fn pick_service(configuration: &Configuration, route: &Route) -> Option<Arc<Service>> {
    let total: u64 = route.targets.iter().map(|target| target.weight).sum();
    let mut drawn = fastrand::u64(..total.max(1));
    for target in &route.targets {
        match drawn.checked_sub(target.weight) {
            None => {
                return configuration
                    .services
                    .get(&target.service)
                    .cloned()
                    .map(Arc::new);
            }
            Some(remaining) => drawn = remaining,
        }
    }
    None
}
