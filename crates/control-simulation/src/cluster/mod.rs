//! The simulated cluster: nodes with processes, disks and connections, driven by virtual time.

mod actions;
mod checks;
mod clients;
mod lifecycle;
mod node;
mod observations;
mod scheduled_event;
mod time;

use crate::NodeIndex;
use crate::digest::EventDigest;
use crate::disk::SimulatedDisk;
use crate::event_queue::EventQueue;
use crate::gossip_faults::GossipFaults;
use crate::history::History;
use crate::invariants::Invariants;
use crate::network::{Network, NetworkConditions, STEADY};
use node::Node;
use scheduled_event::ScheduledEvent;
use std::collections::BTreeMap;
use woadstall_consensus::{DurableState, Member, Snapshot};
use woadstall_control::machine::{CallResponse, ControlMachine, founding_snapshot};
use woadstall_control::wire::Packet;

/// Size and layout of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Number of nodes, each in a zone of its own.
    pub nodes: usize,
    /// Number of nodes, from the first one, that are the initial voters.
    pub founders: usize,
    /// Number of regions, to which nodes are assigned in turn.
    pub regions: usize,
    /// Number of nodes that may be lost at the same time.
    pub tolerated_failures: usize,
}

impl Topology {
    /// A cluster of founders, each in a region of its own, that tolerates the loss of any minority.
    pub const fn founders(nodes: usize) -> Self {
        Self {
            nodes,
            founders: nodes,
            regions: nodes,
            tolerated_failures: (nodes - 1) / 2,
        }
    }
}

/// A log line of a process.
#[derive(Clone, Debug)]
pub struct LogRecord {
    /// Virtual time of the record, in milliseconds.
    pub at_ms: u64,
    /// Node of the process.
    pub node: NodeIndex,
    /// Text of the log line.
    pub text: String,
}

/// Replica id of the first disk that is added after the start; initial nodes have ids from 1.
const FIRST_ADDED_REPLICA_ID: u64 = 1_001;

/// The simulated cluster. The same seed and the same calls give the same run.
pub struct Cluster {
    /// Current virtual time, in milliseconds.
    pub now_ms: u64,
    /// Source of all random choices of the simulation.
    pub random: fastrand::Rng,
    /// The network between nodes.
    pub network: Network,
    /// Invariants that are checked after each event, with the first violation.
    pub invariants: Invariants,
    /// History of operators' operations.
    pub history: History,
    /// Log lines of all processes.
    pub log: Vec<LogRecord>,
    /// Responses, by the token of the request.
    pub responses: BTreeMap<u64, CallResponse>,
    /// Faults of the packets that pass on heartbeats and registrations; none at first.
    pub gossip_faults: GossipFaults,
    /// Digest of all events; `None` if no digest is recorded.
    pub digest: Option<EventDigest>,
    topology: Topology,
    nodes: Vec<Node>,
    events: EventQueue<ScheduledEvent>,
    /// All packets that were sent, by packet id.
    packets: Vec<Packet>,
    /// Upstreams whose draining or deregistration was requested, by the token of the request.
    draining_requests: BTreeMap<u64, String>,
    last_token: u64,
    next_replica_id: u64,
}

/// Internal address of a node.
pub fn address(node: NodeIndex) -> String {
    format!("10.0.{node}.1:7720")
}

impl Cluster {
    /// Creates a cluster of founders with the network conditions [`STEADY`], and starts all
    /// processes.
    pub fn new(seed: u64, nodes: usize) -> Self {
        Self::with_topology(seed, Topology::founders(nodes), STEADY)
    }

    /// Creates a cluster and starts all processes.
    pub fn with_topology(seed: u64, topology: Topology, conditions: NetworkConditions) -> Self {
        let mut cluster = Self {
            now_ms: 0,
            random: fastrand::Rng::with_seed(seed),
            network: Network::new(conditions),
            invariants: Invariants::default(),
            history: History::default(),
            log: Vec::new(),
            responses: BTreeMap::new(),
            gossip_faults: GossipFaults::default(),
            digest: None,
            topology,
            nodes: initial_nodes(topology),
            events: EventQueue::default(),
            packets: Vec::new(),
            draining_requests: BTreeMap::new(),
            last_token: 0,
            next_replica_id: FIRST_ADDED_REPLICA_ID,
        };
        cluster.start_all();
        cluster
    }

    /// Number of nodes that were ever added, including the removed ones.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether no node was ever added.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Whether a node is part of the cluster; `false` once it was removed.
    pub fn is_present(&self, node: NodeIndex) -> bool {
        self.nodes[node].is_present
    }

    /// The process of a node; `None` if it does not run.
    pub fn process(&self, node: NodeIndex) -> Option<&ControlMachine> {
        self.nodes[node].process.as_ref()
    }

    /// The disk of a node.
    pub fn disk(&self, node: NodeIndex) -> &SimulatedDisk {
        &self.nodes[node].disk
    }

    /// The leader of the newest term among the running processes.
    pub fn leader(&self) -> Option<NodeIndex> {
        let is_leader = |node: &NodeIndex| {
            self.process(*node)
                .is_some_and(|process| process.replica().is_leader())
        };
        let term = |node: &NodeIndex| self.process(*node).map(|process| process.replica().term());
        (0..self.len()).filter(is_leader).max_by_key(term)
    }

    /// All nodes except one.
    fn others(&self, node: NodeIndex) -> impl Iterator<Item = NodeIndex> + use<> {
        (0..self.len()).filter(move |other| *other != node)
    }
}

/// The initial nodes. The disks of the founders contain the initial membership, all others are
/// empty.
fn initial_nodes(topology: Topology) -> Vec<Node> {
    let member = |node: NodeIndex| Member {
        id: node as u64 + 1,
        address: address(node),
    };
    let founders: Vec<Member> = (0..topology.founders).map(member).collect();
    let initial_snapshot = |node: NodeIndex| match node < topology.founders {
        true => founding_snapshot(&founders),
        false => Snapshot::default(),
    };
    (0..topology.nodes)
        .map(|node| Node::new(DurableState::new(node as u64 + 1, initial_snapshot(node))))
        .collect()
}
