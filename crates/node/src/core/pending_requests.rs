//! API requests that wait for the machine's answer.

use super::api::ApiResponse;
use std::collections::HashMap;
use tokio::sync::oneshot;
use woadstall_control::machine::CallResponse;

/// Where the response to a request goes; its connection waits there.
pub(super) type Responder = oneshot::Sender<ApiResponse>;

/// The requests, by the token that the machine returns with its answer.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    last_token: u64,
    by_token: HashMap<u64, PendingRequest>,
}

#[derive(Debug)]
struct PendingRequest {
    responder: Responder,
    /// For a registration: where the upstream sends its later heartbeats.
    heartbeat_url: Option<String>,
}

impl PendingRequests {
    /// A token that was not used before.
    pub fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Adds a request under its token.
    pub fn add(&mut self, token: u64, responder: Responder) {
        self.insert(token, responder, None);
    }

    /// Adds the registration of an upstream, which is told where to send its later heartbeats.
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

    /// Responds to the request with a token, if it is pending.
    pub fn complete(&mut self, token: u64, answer: CallResponse) {
        let Some(request) = self.by_token.remove(&token) else {
            return;
        };
        let response = match (answer, request.heartbeat_url) {
            (CallResponse::Acknowledged, Some(heartbeat_url)) => {
                ApiResponse::Registered { heartbeat_url }
            }
            (answer, _) => ApiResponse::Machine(answer),
        };
        respond(request.responder, response);
    }
}

/// Hands a response to the connection that waits for it; one that has timed out takes none.
pub(super) fn respond(responder: Responder, response: ApiResponse) {
    responder.send(response).ok();
}

#[cfg(test)]
mod tests;
