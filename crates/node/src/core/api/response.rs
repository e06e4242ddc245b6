//! Renders responses of the API.

use super::request::RequestError;
use rouille::Response;
use serde_json::json;
use woadstall_control::machine::{CallResponse, ResolveResponse};

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
}

/// Renders a response as HTTP.
pub(in crate::core) fn render(response: ApiResponse) -> Response {
    match response {
        ApiResponse::Machine(answer) => render_machine_answer(answer),
        ApiResponse::Registered { heartbeat_url } => {
            json_text(200, json!({ "heartbeat_url": heartbeat_url }).to_string())
        }
        ApiResponse::Balancers(ResolveResponse { addresses, .. }) if addresses.is_empty() => {
            text(503, "no balancer is known\n")
        }
        ApiResponse::Balancers(ResolveResponse { addresses, ttl_s }) => json_text(
            200,
            json!({ "addresses": addresses, "ttl_s": ttl_s }).to_string(),
        ),
        ApiResponse::Status(status) => json_text(200, status),
    }
}

fn render_machine_answer(answer: CallResponse) -> Response {
    match answer {
        CallResponse::Acknowledged => json_text(200, "{}".to_owned()),
        CallResponse::Conflict { current } => json_text(
            412,
            json!({ "error": "another version is current", "generation": current }).to_string(),
        ),
        CallResponse::Invalid { findings } => text(400, &findings),
        CallResponse::Document(document) => Response::from_data("application/json", document),
        CallResponse::Indeterminate => unavailable(),
    }
}

/// The outcome is unknown: the caller retries, here or elsewhere.
pub(in crate::core) fn unavailable() -> Response {
    text(503, "no clear answer; ask again\n")
}

/// The response to a request that can't be parsed.
pub(in crate::core) fn rejection(error: &RequestError) -> Response {
    let status = match error {
        RequestError::UnknownPath => 404,
        RequestError::UnknownMethod => 405,
        RequestError::BodyTooLarge => 413,
        RequestError::InvalidIfMatch
        | RequestError::MissingBody
        | RequestError::BodyIo(_)
        | RequestError::BodyJson(_)
        | RequestError::ChangeJson(_)
        | RequestError::InvalidFields(_) => 400,
    };
    text(status, &error.to_string())
}

fn text(status: u16, text: &str) -> Response {
    Response::text(text.to_owned()).with_status_code(status)
}

/// A response whose body is JSON already.
fn json_text(status: u16, text: String) -> Response {
    Response::from_data("application/json", text).with_status_code(status)
}
