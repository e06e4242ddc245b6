//! Events that other tasks and threads send to the task of the coordination service.

use super::super::pending_requests::Responder;
use std::time::Instant;
use tokio::sync::mpsc::UnboundedSender;
use woadstall_coordination::command::Call;
use woadstall_coordination::machine::WatchRequest;
use woadstall_coordination::wire::Packet;

/// Sender of the service's event queue.
pub(in crate::core) type EventSender = UnboundedSender<Event>;

/// Event for the coordination service.
#[derive(Debug)]
pub(in crate::core) enum Event {
    /// A connection to the peer with this internal address was established.
    PeerConnected(String),
    /// A packet was received.
    Packet {
        /// Internal address of the sender.
        from: String,
        packet: Packet,
    },
    /// All records of the group's log up to this sequence number are durable.
    RecordsPersisted(u64),
    /// The HTTP API has received a request of an application.
    Request {
        request: CoordinationRequest,
        /// Time at which the request was read from its socket.
        received_at: Instant,
        /// Channel for the response.
        responder: Responder,
    },
    /// An operator requests the status of the service.
    Status {
        /// Channel for the response.
        responder: Responder,
    },
    /// Internal addresses at which machines of the group may be reached.
    KnownAddresses(Vec<String>),
    /// Internal addresses of the seeds in the reloaded settings.
    Seeds(Vec<String>),
    /// The process is shutting down.
    ShutdownStarted,
}

/// Request of an application to the coordination service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::core) enum CoordinationRequest {
    /// Command or query, answered as soon as it is executed.
    Call(Call),
    /// Watch, answered when an event occurs or its wait time has passed.
    Watch(WatchRequest),
}
