//! What the cluster schedules.

use crate::history::{Answer, ClientId, OperationId};
use woadstall_control_simulation::NodeIndex;
use woadstall_control_simulation::network::{Link, PacketId};

/// An event to come.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A packet arrives.
    Delivery {
        link: Link,
        packet: PacketId,
        /// The incarnation that it is for; `None` for one of a former connection.
        incarnation: Option<u64>,
    },
    /// A connection that a process has opened is up.
    LinkUp { link: Link, incarnation: u64 },
    /// A disk syncs a write of an incarnation.
    Sync { node: NodeIndex, incarnation: u64 },
    /// A process learns that records are durable.
    Persisted {
        node: NodeIndex,
        incarnation: u64,
        sequence: u64,
    },
    /// A process ticks.
    Tick { node: NodeIndex, incarnation: u64 },
    /// A process has something to do at this time.
    Due { node: NodeIndex, incarnation: u64 },
    /// A frozen process goes on.
    Thaw { node: NodeIndex, incarnation: u64 },
    /// A process is started.
    Start { node: NodeIndex },
    /// A process ends after its shutdown was announced.
    Stop { node: NodeIndex, incarnation: u64 },
    /// A partition ends.
    EndPartition { number: u64 },
    /// Connections come up and time out.
    Connections,
    /// A request of a client arrives at a machine.
    Request { operation: OperationId },
    /// An answer arrives at a client, or its time is over.
    Answer {
        operation: OperationId,
        answer: Answer,
    },
    /// A client's timer ends.
    Wake { client: ClientId, number: u64 },
    /// The states of the machines are compared.
    CompareStates,
}
