//! What happens to a core process: the tasks and threads around it send it events.

use super::api::ApiRequest;
use super::frame_queue::FrameSender;
use super::pending_requests::Responder;
use std::time::Instant;
use tokio::sync::mpsc::UnboundedSender;
use woadstall_control::wire::{Packet, SubscribeRequest};

/// The sending end of the process's event queue.
pub(super) type EventSender = UnboundedSender<Event>;

/// Something that happened.
#[derive(Debug)]
pub(super) enum Event {
    /// A connection to the machine at this internal address is established.
    PeerConnected(String),
    /// A packet has arrived.
    Packet {
        /// The sender's internal address.
        from: String,
        /// The packet.
        packet: Packet,
    },
    /// A balancer subscribes to the change feed.
    Subscribe {
        /// The number of its connection.
        subscriber: u64,
        /// Its request.
        request: SubscribeRequest,
        /// Where frames for it go.
        queue: FrameSender,
    },
    /// The connection of a subscriber has ended.
    Unsubscribe(u64),
    /// The records of the replicated log up to this number are durable.
    RecordsPersisted(u64),
    /// The registrations are durable, as requested under this number.
    RegistrationsSaved(u64),
    /// A request has come to the HTTP API.
    Api {
        /// The request.
        request: ApiRequest,
        /// When it was read from its socket.
        received_at: Instant,
        /// Where the response goes.
        responder: Responder,
    },
}
