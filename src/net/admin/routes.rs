//! Routes of the admin server.

use super::AdminState;
use crate::net::domain_orders::{DOMAINS_PATH, DomainOrder, kind_name};
use crate::net::evacuation::EvacuationTask;
use crate::net::log::log;
use crate::net::metrics::LoadBalancerStatus;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;

const CONTENT_TYPE_TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
const YES: &str = "yes\n";
const NO: &str = "no\n";

type AdminResponse = Response<Full<Bytes>>;

/// Returns the response to an operator's call.
pub(super) fn respond(state: &AdminState, request: &Request<Incoming>) -> AdminResponse {
    let (path, method) = (request.uri().path(), request.method());
    if method == Method::POST
        && let Some(evacuation) = &state.evacuation
        && let Some(order) = path
            .strip_prefix(DOMAINS_PATH)
            .and_then(|rest| rest.strip_prefix('/'))
    {
        return submit_order(evacuation, order);
    }
    match path {
        "/control/ready" => get(method, || ready(state)),
        "/control/counters" => get(method, || metrics(state)),
        "/control/out-of-service" => post(method, || set_out_of_service(state, true)),
        "/control/in-service" => post(method, || set_out_of_service(state, false)),
        "/control/instances" => match &state.membership {
            Some(membership) => get(method, || json(&membership.report())),
            None => unknown_call(),
        },
        DOMAINS_PATH => match &state.evacuation {
            Some(evacuation) => get(method, || json(&evacuation.status())),
            None => unknown_call(),
        },
        _ => unknown_call(),
    }
}

fn get(method: &Method, call: impl FnOnce() -> AdminResponse) -> AdminResponse {
    require_method(Method::GET, method, call)
}

fn post(method: &Method, call: impl FnOnce() -> AdminResponse) -> AdminResponse {
    require_method(Method::POST, method, call)
}

/// Runs `call` if the request has the allowed method; responds with status 405 otherwise.
fn require_method(
    allowed: Method,
    method: &Method,
    call: impl FnOnce() -> AdminResponse,
) -> AdminResponse {
    if *method == allowed {
        return call();
    }
    let text = format!("this call is a {allowed}\n");
    let mut response = response(StatusCode::METHOD_NOT_ALLOWED, text);
    let allow = if allowed == Method::GET {
        "GET"
    } else {
        "POST"
    };
    response
        .headers_mut()
        .insert(ALLOW, HeaderValue::from_static(allow));
    response
}

fn ready(state: &AdminState) -> AdminResponse {
    if *state.ready.borrow() && !*state.stopping.borrow() {
        return response(StatusCode::OK, YES);
    }
    response(StatusCode::SERVICE_UNAVAILABLE, NO)
}

fn metrics(state: &AdminState) -> AdminResponse {
    let (upstreams, ejected) = state.load_balancer.upstream_counts();
    let attempts = state.load_balancer.transport().requests_written();
    let status = LoadBalancerStatus {
        attempts,
        upstreams,
        ejected,
        discovery: state.load_balancer.discovery_status(),
    };
    match state.metrics.encode(&status) {
        Ok(text) => response(StatusCode::OK, text),
        Err(error) => response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Takes the daemon out of service, or returns it to service.
fn set_out_of_service(state: &AdminState, out_of_service: bool) -> AdminResponse {
    if state.out_of_service.send_replace(out_of_service) != out_of_service {
        let event = if out_of_service {
            "taken_out_of_service"
        } else {
            "returned_to_service"
        };
        log(format_args!("{event}"));
    }
    response(StatusCode::OK, YES)
}

fn submit_order(evacuation: &EvacuationTask, order: &str) -> AdminResponse {
    let Some(order) = DomainOrder::parse(order) else {
        return response(
            StatusCode::BAD_REQUEST,
            "the call is WHAT/KIND/NAME/SECONDS\n",
        );
    };
    match evacuation.submit(&order) {
        Ok(()) => {
            let (kind, name, action) = (kind_name(order.kind), order.name, order.action.as_str());
            log(format_args!(
                "evacuation_order kind={kind} name={name} action={action}"
            ));
            response(StatusCode::OK, YES)
        }
        Err(error) => response(StatusCode::CONFLICT, format!("{error}\n")),
    }
}

fn json(value: &impl Serialize) -> AdminResponse {
    match serde_json::to_string(value) {
        Ok(text) => response(StatusCode::OK, text + "\n"),
        Err(error) => response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn unknown_call() -> AdminResponse {
    response(StatusCode::NOT_FOUND, "no such call\n")
}

fn response(status: StatusCode, text: impl Into<Bytes>) -> AdminResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, CONTENT_TYPE_TEXT);
    response
}
