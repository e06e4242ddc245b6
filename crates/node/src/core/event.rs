//! Events that the tasks and threads of a core process send to its main task.

use super::api::ApiRequest;
use super::frame_queue::FrameSender;
use super::pending_requests::Responder;
use std::time::Instant;
use tokio::sync::mpsc::UnboundedSender;
use woadstall_control::wire::{Packet, SubscribeRequest};

/// Sender of the main task's event queue.
pub(super) type EventSender = UnboundedSender<Event>;

/// Event for the main task.
#[derive(Debug)]
pub(super) enum Event {
    /// A connection to the peer with this internal address was established.
    PeerConnected(String),
    /// A packet was received.
    Packet {
        /// Internal address of the sender.
        from: String,
        packet: Packet,
    },
    /// A balancer subscribes to the change feed.
    Subscribe {
        /// Number of the balancer's connection.
        subscriber: u64,
        request: SubscribeRequest,
        /// Queue of the frames to be sent to the balancer.
        queue: FrameSender,
    },
    /// The connection of the subscriber with this number has ended.
    Unsubscribe(u64),
    /// All records of the replicated log up to this sequence number are durable.
    RecordsPersisted(u64),
    /// The registrations of the write request with this number are durable.
    RegistrationsSaved(u64),
    /// The HTTP API has received a request.
    Api {
        request: ApiRequest,
        /// Time at which the request was read from its socket.
        received_at: Instant,
        /// Channel for the response.
        responder: Responder,
    },
}
