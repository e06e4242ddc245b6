//! Events that the cluster schedules.

use crate::history::{Answer, ClientId, OperationId};
use woadstall_control_simulation::NodeIndex;
use woadstall_control_simulation::network::{Link, PacketId};

/// A scheduled event.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A packet arrives at its receiver.
    Delivery {
        link: Link,
        packet: PacketId,
        /// Incarnation of the receiving process; `None` for a late packet of a closed connection,
        /// which any incarnation accepts.
        incarnation: Option<u64>,
    },
    /// A connection that a process opened is established.
    LinkUp { link: Link, incarnation: u64 },
    /// The disk of a node finishes the sync of a write.
    Sync { node: NodeIndex, incarnation: u64 },
    /// A process is notified that its records up to `sequence` are durable.
    Persisted {
        node: NodeIndex,
        incarnation: u64,
        sequence: u64,
    },
    /// The periodic tick of a process.
    Tick { node: NodeIndex, incarnation: u64 },
    /// A deadline of a process, in addition to its periodic ticks.
    Deadline { node: NodeIndex, incarnation: u64 },
    /// A frozen process resumes.
    Resume { node: NodeIndex, incarnation: u64 },
    /// The process of a node starts.
    Start { node: NodeIndex },
    /// A process ends after the notice period of its shutdown.
    Stop { node: NodeIndex, incarnation: u64 },
    /// A partition ends.
    EndPartition { number: u64 },
    /// The periodic update of connections: establishes requested connections, resets timed-out
    /// connections, and delivers packets whose partition has ended.
    UpdateConnections,
    /// A request arrives at a machine.
    Request { operation: OperationId },
    /// An answer arrives at a client, or the client's timeout expires.
    Answer {
        operation: OperationId,
        answer: Answer,
    },
    /// A timer of a client expires.
    ClientTimer { client: ClientId, number: u64 },
    /// The periodic comparison of the states of all machines.
    CompareStates,
}
