//! The cluster: nodes with their processes, disks and connections, driven by virtual time.

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
use crate::history::History;
use crate::invariants::Invariants;
use crate::network::{Network, NetworkConditions, STEADY};
use node::Node;
use scheduled_event::ScheduledEvent;
use std::collections::BTreeMap;
use woadstall_consensus::{DurableState, Member, Snapshot};
use woadstall_control::machine::{CallResponse, ControlMachine, founding_snapshot};
use woadstall_control::wire::Packet;

/// The shape of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Its nodes, each in a zone of its own.
    pub nodes: usize,
    /// How many of them, the first ones, are the initial voters.
    pub founders: usize,
    /// The regions that the nodes are spread over in turn.
    pub regions: usize,
    /// Nodes that may be lost at a time.
    pub tolerated_failures: usize,
}

impl Topology {
    /// Founders alone, each in a region of its own; any minority may be lost.
    pub const fn founders(nodes: usize) -> Self {
        Self {
            nodes,
            founders: nodes,
            regions: nodes,
            tolerated_failures: (nodes - 1) / 2,
        }
    }
}

/// A line that a process has logged.
#[derive(Clone, Debug)]
pub struct LogRecord {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// The node.
    pub node: NodeIndex,
    /// The line.
    pub text: String,
}

/// The replica id of the first disk that is added later; founders have 1 and up.
const FIRST_ADDED_REPLICA_ID: u64 = 1_001;

/// The simulated cluster.
pub struct Cluster {
    /// The current time in milliseconds.
    pub now_ms: u64,
    /// The source of all chance.
    pub random: fastrand::Rng,
    /// The network between nodes.
    pub network: Network,
    /// What must hold after each event.
    pub invariants: Invariants,
    /// The operations of operators.
    pub history: History,
    /// What processes have logged.
    pub log: Vec<LogRecord>,
    /// The responses so far, by the token of the request.
    pub responses: BTreeMap<u64, CallResponse>,
    /// The digest of all events, if it is to be recorded.
    pub digest: Option<EventDigest>,
    topology: Topology,
    nodes: Vec<Node>,
    events: EventQueue<ScheduledEvent>,
    /// All packets that were sent, by their number.
    packets: Vec<Packet>,
    /// The upstreams whose draining was requested, by the token of the request.
    draining_requests: BTreeMap<u64, String>,
    last_token: u64,
    next_replica_id: u64,
}

/// The internal address of a node.
pub fn address(node: NodeIndex) -> String {
    format!("10.0.{node}.1:7720")
}

impl Cluster {
    /// Founders in a steady network, with all processes started.
    pub fn new(seed: u64, nodes: usize) -> Self {
        Self::with(seed, Topology::founders(nodes), STEADY)
    }

    /// A deployment with all processes started.
    pub fn with(seed: u64, topology: Topology, conditions: NetworkConditions) -> Self {
        let mut cluster = Self {
            now_ms: 0,
            random: fastrand::Rng::with_seed(seed),
            network: Network::new(conditions),
            invariants: Invariants::default(),
            history: History::default(),
            log: Vec::new(),
            responses: BTreeMap::new(),
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

    /// The number of nodes that there ever were.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there never was a node.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Whether a node was not removed.
    pub fn is_present(&self, node: NodeIndex) -> bool {
        self.nodes[node].is_present
    }

    /// A node's process, if it runs.
    pub fn process(&self, node: NodeIndex) -> Option<&ControlMachine> {
        self.nodes[node].process.as_ref()
    }

    /// A node's disk.
    pub fn disk(&self, node: NodeIndex) -> &SimulatedDisk {
        &self.nodes[node].disk
    }

    /// The leader of the newest term.
    pub fn leader(&self) -> Option<NodeIndex> {
        let is_leader = |node: &NodeIndex| {
            self.process(*node)
                .is_some_and(|process| process.replica().is_leader())
        };
        let term = |node: &NodeIndex| self.process(*node).map(|process| process.replica().term());
        (0..self.len()).filter(is_leader).max_by_key(term)
    }

    /// All nodes but one.
    fn others(&self, node: NodeIndex) -> impl Iterator<Item = NodeIndex> + use<> {
        (0..self.len()).filter(move |other| *other != node)
    }
}

/// The nodes at the beginning: founders know each other, the rest begin with empty disks.
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
