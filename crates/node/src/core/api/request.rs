//! Parses requests to the HTTP API.

use super::coordination;
use super::http::HttpRequest;
use crate::core::coordination::CoordinationRequest;
use ::http::header::IF_MATCH;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;
use woadstall_control::command::Command;
use woadstall_control::machine::ResolveRequest;
use woadstall_control::reader::{FieldReader, Findings};
use woadstall_control::registry::{Registration, UpstreamStatus};

/// Maximum size of a request body, in bytes.
pub(in crate::core) const MAX_BODY_BYTES: usize = 6 << 20;

/// A parsed request for the control machine or the coordination service.
#[derive(Clone, Debug)]
pub(in crate::core) enum ApiRequest {
    /// `PUT` or `PATCH /v1/config`, `POST` or `DELETE /v1/evacuations/ZONE`: changes the replicated
    /// state.
    Command(Command),
    /// `GET /v1/config`: reads the configuration.
    ReadConfiguration,
    /// `PUT /v1/instances/ID`: registers an upstream or renews its registration by a heartbeat.
    Register(Registration),
    /// `DELETE /v1/instances/ID`: deregisters the upstream with this id.
    Deregister(String),
    /// `GET /v1/resolve`: looks up balancers for a client.
    Resolve(ResolveRequest),
    /// `GET /v1/status`: reads the status of the control machine.
    Status,
    /// `GET /v1/status/coordination`: reads the status of the coordination service.
    CoordinationStatus,
    /// Call or watch of an application, handled by the coordination service.
    Coordination(CoordinationRequest),
}

/// Reason why a request is rejected before it is passed on.
#[derive(Debug, Error)]
pub(in crate::core) enum RequestError {
    /// The path belongs to no resource of the API.
    #[error("no such path\n")]
    UnknownPath,
    /// The percent-decoded path is not UTF-8.
    #[error("(path): must be UTF-8\n")]
    InvalidPath,
    /// The resource does not support the method.
    #[error("no such method here\n")]
    UnknownMethod,
    /// `If-Match` is missing or not a number.
    #[error("If-Match must hold the version that this builds on\n")]
    InvalidIfMatch,
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the body is too large\n")]
    BodyTooLarge,
    /// The body was not received completely within the time-out.
    #[error("the body did not come in time\n")]
    BodyTimeout,
    /// The thread that parsed the request has panicked or was cancelled.
    #[error("the request could not be parsed\n")]
    ParserEnded,
    /// The body of a registration or of an application's call is not JSON.
    #[error("the body can't be read: {0}\n")]
    BodyJson(#[from] serde_json::Error),
    /// The body of a change is not JSON.
    #[error("(document): can't be read: {0}\n")]
    ChangeJson(#[source] serde_json::Error),
    /// Fields of a registration or of an application's call are missing or invalid.
    #[error("{0}")]
    InvalidFields(Findings),
}

/// Parses an HTTP request.
///
/// # Errors
///
/// Fails if the path or the method is unknown or if a header or the body is invalid.
pub(in crate::core) fn parse(request: &HttpRequest) -> Result<ApiRequest, RequestError> {
    if let Some(coordination) = coordination::parse(request, request.path()?) {
        return coordination.map(ApiRequest::Coordination);
    }
    let segments: Vec<&str> = request.path()?.trim_start_matches('/').split('/').collect();
    match (request.method.as_str(), segments.as_slice()) {
        ("PUT", ["v1", "instances", id]) => {
            let body: Value = serde_json::from_slice(&request.body)?;
            parse_registration(id, &body).map(ApiRequest::Register)
        }
        ("DELETE", ["v1", "instances", id]) => Ok(ApiRequest::Deregister((*id).to_owned())),
        ("GET", ["v1", "config"]) => Ok(ApiRequest::ReadConfiguration),
        ("PUT", ["v1", "config"]) => {
            let (base, body) = configuration_change(request)?;
            Ok(ApiRequest::Command(Command::Put { base, body }))
        }
        ("PATCH", ["v1", "config"]) => {
            let (base, body) = configuration_change(request)?;
            Ok(ApiRequest::Command(Command::Patch { base, body }))
        }
        ("POST", ["v1", "evacuations", zone]) => Ok(ApiRequest::Command(Command::Evacuate {
            zone: (*zone).to_owned(),
        })),
        ("DELETE", ["v1", "evacuations", zone]) => {
            Ok(ApiRequest::Command(Command::EndEvacuation {
                zone: (*zone).to_owned(),
            }))
        }
        ("GET", ["v1", "resolve"]) => Ok(ApiRequest::Resolve(resolve_request(request))),
        ("GET", ["v1", "status"]) => Ok(ApiRequest::Status),
        ("GET", ["v1", "status", "coordination"]) => Ok(ApiRequest::CoordinationStatus),
        (
            _,
            ["v1", "instances", _]
            | ["v1", "evacuations", _]
            | ["v1", "status", "coordination"]
            | ["v1", "config" | "resolve" | "status"],
        ) => Err(RequestError::UnknownMethod),
        _ => Err(RequestError::UnknownPath),
    }
}

fn resolve_request(request: &HttpRequest) -> ResolveRequest {
    let parameter = |name: &str| request.parameter(name).unwrap_or_default();
    ResolveRequest {
        client: request.client.to_string(),
        host: parameter("name"),
        zone: parameter("zone"),
        region: parameter("region"),
    }
}

/// Returns the version that a change is based on, and the body of the change. A body that is not
/// JSON is rejected here, before it can become a command.
fn configuration_change(request: &HttpRequest) -> Result<(u64, Vec<u8>), RequestError> {
    let base = request
        .header(&IF_MATCH)
        .and_then(|value| value.trim().trim_matches('"').parse().ok())
        .ok_or(RequestError::InvalidIfMatch)?;
    let body = request.body.to_vec();
    serde_json::from_slice::<serde::de::IgnoredAny>(&body).map_err(RequestError::ChangeJson)?;
    Ok((base, body))
}

fn parse_registration(id: &str, body: &Value) -> Result<Registration, RequestError> {
    let findings = &mut Findings::default();
    let root = FieldReader::new(body);
    let status = parse_status(&root.field("state"), findings);
    let registration = Registration {
        id: id.to_owned(),
        service: root.field("service").string(findings),
        address: root.field("address").string(findings),
        zone: root.field("zone").string(findings),
        capacity: root.field("capacity").integer_or(1, findings),
        sequence: root.field("sequence").integer_or(0, findings),
        status,
        slow_start_remaining_ms: root.field("cold_remaining_ms").number_or(0.0, findings) as u64,
        termination_remaining_ms: root.field("remaining_ms").number_or(0.0, findings) as u64,
        age_ms: 0,
    };
    let address = &registration.address;
    if !address.is_empty() && address.parse::<SocketAddr>().is_err() {
        findings.add("address", "is no address with a port");
    }
    if findings.is_empty() {
        Ok(registration)
    } else {
        Err(RequestError::InvalidFields(std::mem::take(findings)))
    }
}

fn parse_status(state: &FieldReader<'_>, findings: &mut Findings) -> UpstreamStatus {
    match state.string(findings).as_str() {
        // `FieldReader` has already added a finding for an empty or missing state.
        "ready" | "" => UpstreamStatus::Ready,
        "draining" => UpstreamStatus::Draining,
        other => {
            findings.add(state.path(), format!("{other:?} is no state"));
            UpstreamStatus::Ready
        }
    }
}
