//! Renders responses of the API.

use super::coordination;
use super::http::HttpResponse;
use super::request::RequestError;
use serde_json::json;
use woadstall_control::machine::{CallResponse, ResolveResponse};
use woadstall_coordination::machine;

/// The response to a request, before it is rendered.
#[derive(Clone, Debug)]
pub(in crate::core) enum ApiResponse {
    /// The machine's answer to an order, a read or a registration.
    Machine(CallResponse),
    /// A heartbeat of an upstream was accepted.
    Registered {
        /// Where the upstream sends later ones.
        heartbeat_url: String,
    },
    /// Balancers for a client.
    Balancers(ResolveResponse),
    /// The machine's status as JSON.
    Status(String),
    /// The coordination service's answer to an application.
    Coordination(machine::Response),
}

/// Renders a response as HTTP.
pub(in crate::core) fn render(response: ApiResponse) -> HttpResponse {
    match response {
        ApiResponse::Machine(answer) => render_machine_answer(answer),
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

fn render_machine_answer(answer: CallResponse) -> HttpResponse {
    match answer {
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

/// The outcome is unknown: the caller retries, here or elsewhere.
pub(in crate::core) fn unavailable() -> HttpResponse {
    HttpResponse::text(503, "no clear answer; ask again\n")
}

/// The response to a request that nobody has answered in time: what came of an application's command
/// is not known.
pub(in crate::core) fn timed_out(is_command: bool) -> HttpResponse {
    if is_command {
        coordination::unknown()
    } else {
        unavailable()
    }
}

/// The response to a request that can't be parsed.
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
