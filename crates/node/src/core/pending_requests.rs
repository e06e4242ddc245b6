//! API requests that wait for a response of the control machine.

use super::api::ApiResponse;
use std::collections::HashMap;
use tokio::sync::oneshot;
use woadstall_control::machine::CallResponse;

/// Channel on which the connection of a request waits for the response.
pub(super) type Responder = oneshot::Sender<ApiResponse>;

/// Pending requests, by the token that the machine returns with its response.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    last_token: u64,
    by_token: HashMap<u64, PendingRequest>,
}

#[derive(Debug)]
struct PendingRequest {
    responder: Responder,
    /// URL for the upstream's later heartbeats, set for registrations only.
    heartbeat_url: Option<String>,
}

impl PendingRequests {
    /// Returns a token that was not used before.
    pub fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Adds a pending request.
    pub fn add(&mut self, token: u64, responder: Responder) {
        self.insert(token, responder, None);
    }

    /// Adds a pending registration. Its response contains the URL for the upstream's later
    /// heartbeats.
    pub fn add_registration(
        &mut self,
        token: u64,
        responder: Responder,
        heartbeat_url: Option<String>,
    ) {
        self.insert(token, responder, heartbeat_url);
    }

    fn insert(&mut self, token: u64, responder: Responder, heartbeat_url: Option<String>) {
        let request = PendingRequest {
            responder,
            heartbeat_url,
        };
        self.by_token.insert(token, request);
    }

    /// Responds to the request with this token. Does nothing if no such request is pending.
    pub fn complete(&mut self, token: u64, machine_response: CallResponse) {
        let Some(request) = self.by_token.remove(&token) else {
            return;
        };
        let response = match (machine_response, request.heartbeat_url) {
            (CallResponse::Acknowledged, Some(heartbeat_url)) => {
                ApiResponse::Registered { heartbeat_url }
            }
            (machine_response, _) => ApiResponse::Machine(machine_response),
        };
        respond(request.responder, response);
    }
}

/// Sends a response to the connection that waits for it. The response is dropped if the connection
/// has already timed out.
pub(super) fn respond(responder: Responder, response: ApiResponse) {
    responder.send(response).ok();
}

#[cfg(test)]
mod tests;
