//! The protocol's state machine with what its transport needs: authentication, counters of what was
//! rejected, and the budget for what is received.

use crate::receive_budget::ReceiveBudget;
use crate::report::RejectionCounters;
use std::net::SocketAddr;
use woadstall_membership::{MessageError, Node, Timestamp};
use woadstall_message_auth::{MessageAuthenticator, VerifyError};

/// Connections that are checked at once.
const MAX_CONNECTION_CHECKS: usize = 8;

/// The protocol's state machine with what its transport needs.
pub struct Endpoint {
    /// The state machine.
    pub node: Node,
    /// `None` where the fleet runs without a key.
    pub authenticator: Option<MessageAuthenticator>,
    /// What was rejected or not sent.
    pub rejections: RejectionCounters,
    /// Time for what is received.
    pub receive_budget: ReceiveBudget,
    /// Where the next connection checks start among their targets.
    next_check: usize,
}

impl Endpoint {
    /// An endpoint that has received nothing.
    pub fn new(node: Node, authenticator: Option<MessageAuthenticator>) -> Self {
        Self {
            node,
            authenticator,
            rejections: RejectionCounters::default(),
            receive_budget: ReceiveBudget::default(),
            next_check: 0,
        }
    }

    /// A frame has come, from anybody.
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

    /// The frame of a message to be sent.
    pub fn sign(&mut self, message: Vec<u8>) -> Vec<u8> {
        match &mut self.authenticator {
            Some(authenticator) => authenticator.sign(&message),
            None => message,
        }
    }

    /// Addresses to which a connection is to be checked: some of those that are worth it, others
    /// each time.
    pub fn connection_checks(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let targets = self.node.connection_check_targets(now);
        let targets: Vec<SocketAddr> = targets.map(|member| member.address).collect();
        let first = self.next_check.checked_rem(targets.len()).unwrap_or(0);
        self.next_check = self.next_check.wrapping_add(MAX_CONNECTION_CHECKS);
        let count = MAX_CONNECTION_CHECKS.min(targets.len());
        targets
            .iter()
            .cycle()
            .skip(first)
            .take(count)
            .copied()
            .collect()
    }
}
