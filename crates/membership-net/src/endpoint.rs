//! The protocol's state machine together with message authentication, counters of rejected
//! messages, and the time budget for received messages.

use crate::receive_budget::ReceiveBudget;
use crate::report::RejectionCounters;
use std::net::SocketAddr;
use woadstall_membership::{MessageError, Node, Timestamp};
use woadstall_message_auth::{MessageAuthenticator, VerifyError};

/// Maximum number of connection checks per round.
const MAX_CONNECTION_CHECKS: usize = 8;

/// The protocol's state machine together with message authentication, counters of rejected
/// messages, and the time budget for received messages.
pub struct Endpoint {
    /// State machine of the local member.
    pub node: Node,
    /// Message authentication, or `None` if the fleet runs without a key.
    pub authenticator: Option<MessageAuthenticator>,
    /// Counters of messages that were rejected or not sent.
    pub rejections: RejectionCounters,
    /// Time budget for the processing of received messages.
    pub receive_budget: ReceiveBudget,
    /// Index of the first target of the next round of connection checks, modulo the number of
    /// targets.
    next_check_index: usize,
}

impl Endpoint {
    /// Creates an endpoint with zero counters.
    pub fn new(node: Node, authenticator: Option<MessageAuthenticator>) -> Self {
        Self {
            node,
            authenticator,
            rejections: RejectionCounters::default(),
            receive_budget: ReceiveBudget::default(),
            next_check_index: 0,
        }
    }

    /// Verifies a frame from any source and passes its message to the state machine.
    pub fn receive(&mut self, now: Timestamp, frame: &[u8]) {
        let verified = match &mut self.authenticator {
            Some(authenticator) => authenticator.verify(frame),
            None => Ok(frame),
        };
        let rejections = &mut self.rejections;
        let counter = match verified {
            Ok(message) => match self.node.receive(now, message) {
                Ok(()) => return,
                Err(MessageError::UnsupportedVersion(_)) => &mut rejections.other_version,
                Err(MessageError::Malformed) => &mut rejections.malformed,
            },
            Err(VerifyError::TooShort) => &mut rejections.malformed,
            Err(VerifyError::UnsupportedFormat(_)) => &mut rejections.other_version,
            Err(VerifyError::UnknownKey) => &mut rejections.other_key,
            Err(VerifyError::Replayed) => &mut rejections.replayed,
        };
        *counter += 1;
    }

    /// Wraps a message in a frame, signed unless the fleet runs without a key.
    pub fn sign(&mut self, message: Vec<u8>) -> Vec<u8> {
        match &mut self.authenticator {
            Some(authenticator) => authenticator.sign(&message),
            None => message,
        }
    }

    /// Addresses for the next round of connection checks. Successive rounds rotate through all
    /// targets.
    pub fn connection_checks(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let targets = self.node.connection_check_targets(now);
        let targets: Vec<SocketAddr> = targets.map(|member| member.address).collect();
        let first_index = self
            .next_check_index
            .checked_rem(targets.len())
            .unwrap_or(0);
        self.next_check_index = self.next_check_index.wrapping_add(MAX_CONNECTION_CHECKS);
        let count = MAX_CONNECTION_CHECKS.min(targets.len());
        targets
            .iter()
            .cycle()
            .skip(first_index)
            .take(count)
            .copied()
            .collect()
    }
}
