//! A member with its seals and counts: between the sockets and what thinks.

use crate::budget::Budget;
use crate::report::Counts;
use std::net::SocketAddr;
use woadstall_membership::{MessageError, Node};
use woadstall_message_auth::{MessageAuthenticator, VerifyError};

/// Members that are looked for at once.
const LOOKED_FOR: usize = 8;

/// See the module's documentation.
pub struct Core {
    /// What thinks.
    pub node: Node,
    /// Absent where the fleet goes without a key.
    pub authenticator: Option<MessageAuthenticator>,
    /// What was not believed or not sent.
    pub counts: Counts,
    /// Time for what comes in.
    pub budget: Budget,
    /// Which of the suspected are looked for next.
    turn: usize,
}

impl Core {
    /// One that begins.
    pub fn new(node: Node, authenticator: Option<MessageAuthenticator>) -> Self {
        Self {
            node,
            authenticator,
            counts: Counts::default(),
            budget: Budget::default(),
            turn: 0,
        }
    }

    /// Bytes have come, from whomever.
    pub fn messages_received(&mut self, now: u64, bytes: &[u8]) {
        let opened = match &mut self.authenticator {
            Some(authenticator) => authenticator.verify(bytes),
            None => Ok(bytes),
        };
        let count = match opened {
            Ok(message) => match self.node.receive(now, message) {
                Ok(()) => return,
                Err(MessageError::UnsupportedVersion(_)) => &mut self.counts.other_version,
                Err(MessageError::Malformed) => &mut self.counts.no_message,
            },
            Err(VerifyError::TooShort) => &mut self.counts.no_message,
            Err(VerifyError::UnsupportedFormat(_)) => &mut self.counts.other_version,
            Err(VerifyError::UnknownKey) => &mut self.counts.other_key,
            Err(VerifyError::Replayed) => &mut self.counts.had_before,
        };
        *count += 1;
    }

    /// Bytes as they go out.
    pub fn frames(&mut self, message: Vec<u8>) -> Vec<u8> {
        match &mut self.authenticator {
            Some(authenticator) => authenticator.sign(&message),
            None => message,
        }
    }

    /// Where to look whether a process listens: some of those that may be gone, others each time.
    pub fn look_for(&mut self, now: u64) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self
            .node
            .connection_check_targets(now)
            .map(|metadata| metadata.address)
            .collect();
        let from = self.turn.checked_rem(all.len()).unwrap_or(0);
        self.turn = self.turn.wrapping_add(LOOKED_FOR);
        all.iter()
            .cycle()
            .skip(from)
            .take(LOOKED_FOR.min(all.len()))
            .copied()
            .collect()
    }
}
