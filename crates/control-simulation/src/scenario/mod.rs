//! Scenarios: steps that are generated from a seed, run on a cluster, and shrunk to those that a
//! failure needs.

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
    /// A process is started, ended or paused.
    Process(ProcessStep),
    /// A disk is lost, stalls or rejects writes.
    Disk(DiskStep),
    /// Nodes are partitioned, or all partitions end.
    Network(NetworkStep),
    /// All faults end, and all processes run.
    ClearFaults,
    /// Time passes.
    Wait {
        /// How long, in milliseconds.
        duration_ms: u64,
    },
}

/// A request of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are explained with their variants")]
pub enum RequestStep {
    /// An operator puts a configuration on top of the newest generation that it knows; with a
    /// `rival`, another one on the same generation at the next node.
    Put { node: NodeIndex, rival: bool },
    /// The last configuration is put once more, unchanged.
    RetryPut { node: NodeIndex },
    /// A zone is evacuated.
    Evacuate { node: NodeIndex, zone: u8 },
    /// The evacuation of a zone ends.
    EndEvacuation { node: NodeIndex, zone: u8 },
    /// The configuration is read.
    Read { node: NodeIndex },
    /// An upstream registers as ready.
    Register { node: NodeIndex, upstream: u8 },
    /// An upstream registers as draining.
    Drain { node: NodeIndex, upstream: u8 },
    /// An upstream deregisters, perhaps without having drained.
    Deregister { node: NodeIndex, upstream: u8 },
}

/// What happens to processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are explained with their variants")]
pub enum ProcessStep {
    /// A process crashes.
    Crash { node: NodeIndex },
    /// All processes crash.
    CrashAll,
    /// A process is notified that it will be stopped, and stopped a little later.
    Shutdown { node: NodeIndex },
    /// A process starts.
    Start { node: NodeIndex },
    /// All processes start.
    StartAll,
    /// A process is paused for some milliseconds.
    Pause { node: NodeIndex, duration_ms: u64 },
}

/// What happens to disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are explained with their variants")]
pub enum DiskStep {
    /// A node loses its disk and starts again.
    Wipe { node: NodeIndex },
    /// A node loses its disk while all others crash; then all start again.
    WipeAndCrashAll { node: NodeIndex },
    /// A disk syncs nothing for some milliseconds.
    Stall { node: NodeIndex, duration_ms: u64 },
    /// A disk rejects all writes for some milliseconds.
    RejectWrites { node: NodeIndex, duration_ms: u64 },
}

/// What happens to the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are explained with their variants")]
pub enum NetworkStep {
    /// A node is partitioned from all others, in both directions or one.
    Isolate {
        node: NodeIndex,
        inbound: bool,
        outbound: bool,
    },
    /// The first nodes are partitioned from the rest.
    Split { first: usize },
    /// Two nodes are partitioned from each other.
    Partition { one: NodeIndex, other: NodeIndex },
    /// All partitions end.
    Heal,
}

/// What a scenario runs on.
#[derive(Clone, Copy, Debug)]
pub struct Environment {
    /// The nodes.
    pub topology: Topology,
    /// The network between them.
    pub network: NetworkConditions,
}

/// A scenario, which always takes the same course as far as its seed and steps determine it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed of the cluster.
    pub seed: u64,
    /// What it runs on.
    pub environment: Environment,
    /// Its steps in order.
    pub steps: Vec<Step>,
}
