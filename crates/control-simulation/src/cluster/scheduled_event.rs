//! Events that the cluster schedules.

use crate::NodeIndex;
use crate::network::{Link, PacketId};

/// A scheduled event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ScheduledEvent {
    /// A packet arrives at its receiver.
    Delivery {
        link: Link,
        packet: PacketId,
        /// Incarnation of the receiving process; `None` for a late packet of a closed connection,
        /// which any incarnation accepts.
        incarnation: Option<u64>,
    },
    /// The disk of a node finishes the sync of a write.
    Sync { node: NodeIndex, incarnation: u64 },
}
