//! What the cluster schedules.

use crate::NodeIndex;
use crate::network::{Link, PacketId};

/// An event to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ScheduledEvent {
    /// A packet arrives.
    Delivery {
        link: Link,
        packet: PacketId,
        /// The incarnation that it is for; `None` for one of a former connection, which any process
        /// accepts.
        incarnation: Option<u64>,
    },
    /// A disk syncs a write of an incarnation.
    Sync { node: NodeIndex, incarnation: u64 },
}
