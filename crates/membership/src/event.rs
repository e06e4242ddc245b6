//! The output of a node: messages to send, events to log, and counters.

use crate::metadata::{MemberMetadata, Name};
use std::net::SocketAddr;
use std::time::Duration;

/// An encoded message with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The encoded message, at most a datagram long unless `reliable` is set.
    pub bytes: Vec<u8>,
    /// Whether the message needs a reliable transport. A reliable message must arrive and may
    /// exceed the length of a datagram.
    pub reliable: bool,
}

/// A membership change that a caller may log or react to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A new member, or a new generation of a known member, appeared.
    Joined(MemberMetadata),
    /// A suspected or dead member is alive again.
    Recovered(Name),
    /// A member became suspected.
    Suspected {
        /// Name of the suspected member.
        name: Name,
        /// The member that raised the suspicion, if known.
        by: Option<Name>,
    },
    /// A member was declared dead.
    Dead {
        /// Name of the dead member.
        name: Name,
        /// The member that declared the death after its suspicion expired, if known.
        by: Option<Name>,
    },
    /// A member announced its leave.
    Left(Name),
    /// The local process did not run for the given duration.
    ProcessPaused(Duration),
    /// Two running processes use the same name.
    NameConflict {
        /// The name in conflict.
        name: Name,
        /// Address of the local member, followed by the address of the other process.
        addresses: [SocketAddr; 2],
    },
    /// The local member became isolated or is no longer isolated.
    IsolationChanged {
        /// Whether the local member is isolated now.
        is_isolated: bool,
    },
}

/// Counters since the creation of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Received messages, including undecodable ones.
    pub messages_received: u64,
    /// Received messages that could not be decoded.
    pub messages_rejected: u64,
    /// Messages handed to the caller for sending.
    pub messages_sent: u64,
    /// Total encoded length of the sent messages in bytes, without transport overhead.
    pub bytes_sent: u64,
    /// Members that were ignored because [`Settings::max_members`](crate::Settings) members were
    /// already known.
    pub members_rejected: u64,
    /// Records that were ignored, or evicted in favour of records of higher priority.
    pub records_dropped: u64,
    /// Detected pauses of the local process.
    pub process_pauses: u64,
}
