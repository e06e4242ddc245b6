//! Scenarios: lists of steps that are generated from a seed and run on a cluster. A failing
//! scenario is shrunk to the steps that reproduce the failure.

mod client;
mod generate;
mod run;
mod shrink;

pub mod fixtures;

pub use generate::{ALL_FAULTS, FaultKinds};
pub use run::ScenarioError;
pub use shrink::FailedScenario;

use crate::NodeIndex;
use crate::cluster::Topology;
use crate::network::NetworkConditions;

/// A step of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A client sends a request.
    Request(RequestStep),
    /// A process starts, ends or pauses.
    Process(ProcessStep),
    /// A disk is lost, stalls or rejects writes.
    Disk(DiskStep),
    /// Nodes are partitioned, or all partitions end.
    Network(NetworkStep),
    /// All faults end, and all stopped processes start.
    ClearFaults,
    /// Virtual time advances.
    Wait {
        /// Duration of the wait, in milliseconds.
        duration_ms: u64,
    },
}

/// A request of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are explained with their variants")]
pub enum RequestStep {
    /// An operator replaces the newest generation that it knows. If `with_rival` is set, it submits
    /// a second configuration for the same generation at the next node.
    Put { node: NodeIndex, with_rival: bool },
    /// The operator submits the last configuration again, unchanged.
    RetryPut { node: NodeIndex },
    /// An operator evacuates a zone.
    Evacuate { node: NodeIndex, zone: u8 },
    /// An operator ends the evacuation of a zone.
    EndEvacuation { node: NodeIndex, zone: u8 },
    /// An operator reads the configuration.
    Read { node: NodeIndex },
    /// An upstream registers as ready.
    Register { node: NodeIndex, upstream: u8 },
    /// An upstream registers as draining.
    Drain { node: NodeIndex, upstream: u8 },
    /// An upstream deregisters, with or without draining before.
    Deregister { node: NodeIndex, upstream: u8 },
}

/// An operation or a fault of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are explained with their variants")]
pub enum ProcessStep {
    /// A process crashes.
    Crash { node: NodeIndex },
    /// All processes crash.
    CrashAll,
    /// A process gets notice of its shutdown, and stops after the notice period.
    Shutdown { node: NodeIndex },
    /// A process starts.
    Start { node: NodeIndex },
    /// All stopped processes start.
    StartAll,
    /// A process pauses for `duration_ms`.
    Pause { node: NodeIndex, duration_ms: u64 },
}

/// A fault of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are explained with their variants")]
pub enum DiskStep {
    /// A node loses its disk and restarts with an empty one.
    Wipe { node: NodeIndex },
    /// A node loses its disk while all others crash, then all nodes restart.
    WipeAndCrashAll { node: NodeIndex },
    /// A disk completes no sync for `duration_ms`.
    Stall { node: NodeIndex, duration_ms: u64 },
    /// A disk rejects all writes for `duration_ms`.
    RejectWrites { node: NodeIndex, duration_ms: u64 },
}

/// A start or an end of partitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are explained with their variants")]
pub enum NetworkStep {
    /// A node is partitioned from all others, in one direction or in both.
    Isolate {
        node: NodeIndex,
        inbound: bool,
        outbound: bool,
    },
    /// The first `group_size` nodes are partitioned from all others.
    Split { group_size: usize },
    /// Two nodes are partitioned from each other.
    Partition { node: NodeIndex, other: NodeIndex },
    /// All partitions end.
    Heal,
}

/// The cluster that a scenario runs on.
#[derive(Clone, Copy, Debug)]
pub struct Environment {
    /// Size and layout of the cluster.
    pub topology: Topology,
    /// Properties of the network between the nodes.
    pub network: NetworkConditions,
}

/// A scenario. Runs of the same scenario are identical.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of the random choices of the cluster.
    pub seed: u64,
    /// Cluster and network that the scenario runs on.
    pub environment: Environment,
    /// Steps, in the order of execution.
    pub steps: Vec<Step>,
}
