//! Renders responses of the HTTP API.

use super::coordination;
use super::http::HttpResponse;
use super::request::RequestError;
use serde_json::json;
use woadstall_control::machine::{CallResponse, ResolveResponse};
use woadstall_coordination::machine;

/// Response to an API request before it is rendered as HTTP.
#[derive(Clone, Debug)]
pub(in crate::core) enum ApiResponse {
    /// Response of the control machine to a command, a read or a registration.
    Machine(CallResponse),
    /// The registration of an upstream was accepted.
    Registered {
        /// URL for the upstream's later heartbeats.
        heartbeat_url: String,
    },
    /// Balancers found for a client.
    Balancers(ResolveResponse),
    /// Status of the control machine or the coordination service as JSON.
    Status(String),
    /// Response of the coordination service to an application.
    Coordination(machine::Response),
}

/// Renders a response as HTTP.
pub(in crate::core) fn render(response: ApiResponse) -> HttpResponse {
    match response {
        ApiResponse::Machine(response) => render_machine_response(response),
        ApiResponse::Registered { heartbeat_url } => {
            HttpResponse::json(200, json!({ "heartbeat_url": heartbeat_url }).to_string())
        }
        ApiResponse::Balancers(ResolveResponse { addresses, .. }) if addresses.is_empty() => {
            HttpResponse::text(503, "no balancer is known\n")
        }
        ApiResponse::Balancers(ResolveResponse { addresses, ttl_s }) => HttpResponse::json(
            200,
            json!({ "addresses": addresses, "ttl_s": ttl_s }).to_string(),
        ),
        ApiResponse::Status(status) => HttpResponse::json(200, status),
        ApiResponse::Coordination(response) => coordination::render(response),
    }
}

fn render_machine_response(response: CallResponse) -> HttpResponse {
    match response {
        CallResponse::Acknowledged => HttpResponse::json(200, "{}".to_owned()),
        CallResponse::Conflict { current } => HttpResponse::json(
            412,
            json!({ "error": "another version is current", "generation": current }).to_string(),
        ),
        CallResponse::Invalid { findings } => HttpResponse::text(400, findings),
        CallResponse::Document(document) => HttpResponse::json(200, document),
        CallResponse::Indeterminate => unavailable(),
    }
}

/// Builds the response to a request whose outcome is unknown. The caller may retry at this machine
/// or at another one.
pub(in crate::core) fn unavailable() -> HttpResponse {
    HttpResponse::text(503, "no clear answer; ask again\n")
}

/// Builds the response to a coordination request that was not answered in time. The outcome of a
/// command is unknown; other requests can be retried.
pub(in crate::core) fn timed_out(is_command: bool) -> HttpResponse {
    if is_command {
        coordination::unknown_outcome()
    } else {
        unavailable()
    }
}

/// Builds the response to a request that was rejected before it was passed on.
pub(in crate::core) fn rejection(error: &RequestError) -> HttpResponse {
    let status = match error {
        RequestError::UnknownPath => 404,
        RequestError::UnknownMethod => 405,
        RequestError::BodyTimeout => 408,
        RequestError::BodyTooLarge => 413,
        RequestError::ParserEnded => 500,
        RequestError::InvalidPath
        | RequestError::InvalidIfMatch
        | RequestError::BodyJson(_)
        | RequestError::ChangeJson(_)
        | RequestError::InvalidFields(_) => 400,
    };
    HttpResponse::text(status, error.to_string())
}
