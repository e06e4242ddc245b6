//! The dispatch of received messages: the comparison of terms, and the handler of each kind of
//! message.

use super::Replica;
use crate::config::Milliseconds;
use crate::message::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, Message, MessageBody,
    VoteResponse,
};

impl Replica {
    /// Handles a message from another replica. A message for another identity is ignored.
    pub fn handle_message(&mut self, now: Milliseconds, message: Message) {
        self.now = self.now.max(now);
        if message.to != self.id {
            return;
        }
        if let MessageBody::VoteRequest(request) = message.body {
            self.handle_vote_request(message.from, message.term, request);
            return;
        }
        // The term in a pre-vote response belongs to an election that has not begun.
        let is_pre_vote_response = matches!(
            message.body,
            MessageBody::VoteResponse(VoteResponse { pre_vote: true, .. })
        );
        if message.term > self.term && !is_pre_vote_response {
            self.adopt_term(message.term);
        }
        if message.term < self.term {
            self.reject_stale_term(&message);
            return;
        }
        self.dispatch_body(message);
    }

    fn dispatch_body(&mut self, message: Message) {
        let from = message.from;
        match message.body {
            MessageBody::VoteRequest(_) => {}
            MessageBody::VoteResponse(response) => self.handle_vote_response(from, response),
            MessageBody::AppendEntriesRequest(request) => {
                self.follow(from);
                self.handle_append_entries_request(from, request);
            }
            MessageBody::AppendEntriesResponse(response) => {
                self.handle_append_entries_response(from, response);
            }
            MessageBody::InstallSnapshotRequest(request) => {
                self.follow(from);
                self.handle_install_snapshot_request(from, request);
            }
            MessageBody::InstallSnapshotResponse(response) => {
                self.handle_install_snapshot_response(from, response);
            }
            MessageBody::TimeoutNow => self.handle_timeout_now(),
        }
    }

    /// Rejects a request from the leader of an earlier term. The sender learns the current term
    /// from the response.
    fn reject_stale_term(&mut self, message: &Message) {
        let heartbeat_round = match &message.body {
            MessageBody::AppendEntriesRequest(AppendEntriesRequest {
                heartbeat_round, ..
            })
            | MessageBody::InstallSnapshotRequest(InstallSnapshotRequest {
                heartbeat_round, ..
            }) => *heartbeat_round,
            _ => return,
        };
        let response = AppendEntriesResponse {
            success: false,
            last_index: self.log.last_index(),
            heartbeat_round,
        };
        self.send_when_durable(message.from, MessageBody::AppendEntriesResponse(response));
    }
}
