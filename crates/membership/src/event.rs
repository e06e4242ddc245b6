//! What a node hands its caller: messages to send, events to log, and counters.

use crate::metadata::{MemberMetadata, Name};
use std::net::SocketAddr;
use std::time::Duration;

/// A message to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The encoded message.
    pub bytes: Vec<u8>,
    /// Whether it needs a reliable transport: it may be longer than a datagram and has to arrive.
    pub reliable: bool,
}

/// A change that a caller may log or build on.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member that was not known, or a new generation of one.
    Joined(MemberMetadata),
    /// A member that was suspected or dead is alive.
    Recovered(Name),
    /// A member is suspected.
    Suspected {
        /// The suspected member.
        name: Name,
        /// The member that found it unreachable itself, where that is known.
        by: Option<Name>,
    },
    /// A member is dead.
    Dead {
        /// The dead member.
        name: Name,
        /// The member whose suspicion ran out, where that is known.
        by: Option<Name>,
    },
    /// A member has left in good order.
    Left(Name),
    /// The local process did not run for this long.
    ProcessPaused(Duration),
    /// Two processes use the same name at the same time.
    NameConflict {
        /// The name.
        name: Name,
        /// The local address, and the other process's.
        addresses: [SocketAddr; 2],
    },
    /// The local member can no longer reach most others, or can again.
    IsolationChanged {
        /// Whether it is isolated now.
        is_isolated: bool,
    },
}

/// Counts since the start of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages received.
    pub messages_received: u64,
    /// Messages received that could not be decoded.
    pub messages_rejected: u64,
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes of the messages sent, without what a transport adds.
    pub bytes_sent: u64,
    /// Members that were not taken in because [`Settings::max_members`](crate::Settings) were known.
    pub members_rejected: u64,
    /// Records that were not taken in, or were evicted for more important ones.
    pub records_dropped: u64,
    /// Pauses of the local process.
    pub process_pauses: u64,
}
