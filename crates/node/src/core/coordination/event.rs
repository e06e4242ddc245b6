//! What happens to the service: the tasks and threads around it send it events.

use super::super::pending_requests::Responder;
use std::time::Instant;
use tokio::sync::mpsc::UnboundedSender;
use woadstall_coordination::command::Call;
use woadstall_coordination::machine::WatchRequest;
use woadstall_coordination::wire::Packet;

/// The sending end of the service's event queue.
pub(in crate::core) type EventSender = UnboundedSender<Event>;

/// Something that happened.
#[derive(Debug)]
pub(in crate::core) enum Event {
    /// A connection to the machine at this internal address is established.
    PeerConnected(String),
    /// A packet has arrived.
    Packet {
        /// The sender's internal address.
        from: String,
        /// The packet.
        packet: Packet,
    },
    /// The records of the group's log up to this number are durable.
    RecordsPersisted(u64),
    /// An application calls.
    Request {
        /// The request.
        request: CoordinationRequest,
        /// When it was read from its socket.
        received_at: Instant,
        /// Where the response goes.
        responder: Responder,
    },
    /// An operator asks for the status.
    Status {
        /// Where the response goes.
        responder: Responder,
    },
    /// Machines of the group may be found at these internal addresses.
    KnownAddresses(Vec<String>),
    /// The settings name these seeds now.
    Seeds(Vec<String>),
    /// The process is about to end.
    ShutdownStarted,
}

/// A request of an application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::core) enum CoordinationRequest {
    /// A call that is answered once.
    Call(Call),
    /// A watch, which waits for events.
    Watch(WatchRequest),
}
