//! The simulated cluster: nodes with processes, disks and connections, and clients, driven by
//! virtual time.

mod actions;
mod client_access;
mod divergence;
mod event;
mod faults;
mod lifecycle;
mod node;
mod partitions;
mod time;

pub use client_access::ClientContext;
pub use divergence::StateDivergence;
pub use partitions::Direction;

use crate::clients::Client;
use crate::history::History;
use divergence::AppliedStates;
use event::Event;
use node::Node;
use partitions::Partition;
use std::collections::BTreeMap;
use woadstall_consensus::{DurableState, Member, Snapshot};
use woadstall_control_simulation::NodeIndex;
use woadstall_control_simulation::event_queue::EventQueue;
use woadstall_control_simulation::network::{DELAYED_DELIVERY, Network, PacketId};
use woadstall_coordination::machine::{CoordinationMachine, initial_snapshot};
use woadstall_coordination::wire::Packet;

/// Size and layout of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Number of nodes, each in a zone of its own.
    pub nodes: usize,
    /// Number of nodes, from the first one, that form the initial consensus group.
    pub founders: usize,
    /// Number of regions, to which nodes are assigned in turn.
    pub regions: usize,
    /// Number of nodes that may be lost at the same time.
    pub tolerated_failures: usize,
}

/// Six machines, two in each of three regions. Any two machines may be lost at the same time.
pub const SIX_IN_THREE_REGIONS: Topology = Topology {
    nodes: 6,
    founders: 3,
    regions: 3,
    tolerated_failures: 2,
};

/// How long after the receipt of a revision a watch must be able to resume from it, in
/// milliseconds.
pub const HISTORY_MS: u64 = 5_000;
/// History retention of the machines, in milliseconds: twice [`HISTORY_MS`] plus 10 s, the margin
/// that the node process adds to its setting too.
const HISTORY_RETENTION_MS: u64 = 2 * HISTORY_MS + 10_000;
/// Replica id of the first disk that is added after the start; initial nodes have ids from 1.
const FIRST_ADDED_REPLICA_ID: u64 = 1_001;

/// A log line of a process, or the record of a fault.
#[derive(Clone, Debug)]
pub struct LogRecord {
    /// Virtual time of the record, in milliseconds.
    pub at_ms: u64,
    /// The affected node; `None` if the record concerns several nodes.
    pub node: Option<NodeIndex>,
    /// Text of the log line, or description of the fault.
    pub text: String,
}

/// A client with the number of its latest timer.
struct ClientSlot {
    /// `None` while the client handles an event, and after it was stopped.
    client: Option<Box<dyn Client>>,
    last_timer: u64,
}

/// The simulated cluster with its clients. The same seed and the same calls give the same run.
pub struct Cluster {
    /// Current virtual time, in milliseconds.
    pub now_ms: u64,
    /// Source of all random choices of the simulation.
    pub random: fastrand::Rng,
    /// Requests and answers of the clients.
    pub history: History,
    /// Log lines of the processes, and the injected faults.
    pub log: Vec<LogRecord>,
    topology: Topology,
    network: Network,
    nodes: Vec<Node>,
    events: EventQueue<Event>,
    /// Packets in flight.
    packets: BTreeMap<PacketId, Packet>,
    last_packet: PacketId,
    partitions: Vec<Partition>,
    last_partition: u64,
    clients: Vec<ClientSlot>,
    applied_states: AppliedStates,
    next_replica_id: u64,
}

impl Cluster {
    /// Creates a cluster and starts all processes.
    pub fn new(seed: u64, topology: Topology) -> Self {
        let mut cluster = Self {
            now_ms: 0,
            random: fastrand::Rng::with_seed(seed),
            history: History::default(),
            log: Vec::new(),
            topology,
            network: Network::new(DELAYED_DELIVERY),
            nodes: initial_nodes(topology),
            events: EventQueue::default(),
            packets: BTreeMap::new(),
            last_packet: 0,
            partitions: Vec::new(),
            last_partition: 0,
            clients: Vec::new(),
            applied_states: AppliedStates::default(),
            next_replica_id: FIRST_ADDED_REPLICA_ID,
        };
        cluster.start_all();
        cluster.schedule(0, Event::UpdateConnections);
        cluster.schedule(0, Event::CompareStates);
        cluster
    }

    /// The nodes that were not removed, with running and stopped processes.
    pub fn present_nodes(&self) -> Vec<NodeIndex> {
        let nodes = 0..self.nodes.len();
        nodes.filter(|node| self.nodes[*node].is_present).collect()
    }

    /// Number of the region that a node belongs to.
    pub fn region(&self, node: NodeIndex) -> usize {
        self.nodes[node].region
    }

    /// The process of a node; `None` if it does not run.
    pub fn process(&self, node: NodeIndex) -> Option<&CoordinationMachine> {
        self.nodes[node].process.as_ref()
    }

    /// The leader of the newest term among the running processes.
    pub fn leader(&self) -> Option<NodeIndex> {
        let term = |node: &NodeIndex| {
            let replica = self.process(*node)?.replica();
            replica.is_leader().then(|| replica.term())
        };
        let leaders = self
            .present_nodes()
            .into_iter()
            .filter(|node| term(node).is_some());
        leaders.max_by_key(term)
    }

    /// The first divergence of two states that was observed.
    pub fn divergence(&self) -> Option<&StateDivergence> {
        self.applied_states.divergence.as_ref()
    }

    /// Whether all committed entries are certain to survive when these nodes lose their disks: in
    /// every membership on any disk, a majority of the voters (and of the next voters) keeps its
    /// disk.
    pub fn can_lose_disks(&self, lost_nodes: &[NodeIndex]) -> bool {
        let keeps_disk = |member: &Member| {
            let nodes = self.nodes.iter().enumerate();
            let mut kept = nodes.filter(|(node, _)| !lost_nodes.contains(node));
            kept.any(|(_, node)| node.is_present && node.disk.durable().id == member.id)
        };
        let memberships = self
            .nodes
            .iter()
            .map(|node| node.disk.durable().log.membership());
        let mut memberships = memberships.filter(|membership| !membership.voters.is_empty());
        memberships.all(|membership| {
            membership.voters.is_empty()
                || is_majority(&membership.voters, keeps_disk)
                    && (membership.next_voters.is_empty()
                        || is_majority(&membership.next_voters, keeps_disk))
        })
    }

    /// The log and the state of the running replicas, with one line per record and per replica.
    pub fn describe(&self) -> String {
        let log_lines = self.log.iter().map(|line| match line.node {
            Some(node) => format!("{} node={node} {}", line.at_ms, line.text),
            None => format!("{} {}", line.at_ms, line.text),
        });
        let replicas = (0..self.nodes.len()).filter_map(|node| self.describe_replica(node));
        log_lines.chain(replicas).collect::<Vec<_>>().join("\n")
    }

    fn describe_replica(&self, node: NodeIndex) -> Option<String> {
        let replica = self.process(node)?.replica();
        let (term, leader) = (replica.term(), replica.leader());
        let (commit, members) = (replica.commit_index(), replica.membership());
        Some(format!(
            "node={node} term={term} leader={leader:?} commit={commit} {members:?}"
        ))
    }

    fn log_event(&mut self, node: Option<NodeIndex>, text: String) {
        let at_ms = self.now_ms;
        self.log.push(LogRecord { at_ms, node, text });
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.events.schedule(self.now_ms + delay_ms, event);
    }
}

fn is_majority(voters: &[Member], keeps_disk: impl Fn(&Member) -> bool) -> bool {
    2 * voters.iter().filter(|member| keeps_disk(member)).count() > voters.len()
}

/// Internal address of the machine of a node.
fn address(node: NodeIndex) -> String {
    format!("10.0.{node}.1:7730")
}

/// The initial nodes. The disks of the founders contain the initial membership, all others are
/// empty.
fn initial_nodes(topology: Topology) -> Vec<Node> {
    let member = |node: NodeIndex| Member {
        id: node as u64 + 1,
        address: address(node),
    };
    let founders: Vec<Member> = (0..topology.founders).map(member).collect();
    let initial_snapshot = |node: NodeIndex| {
        if node < topology.founders {
            initial_snapshot(&founders)
        } else {
            Snapshot::default()
        }
    };
    let new_node = |node: NodeIndex| {
        let initial_state = DurableState::new(node as u64 + 1, initial_snapshot(node));
        Node::new(address(node), node, node % topology.regions, initial_state)
    };
    (0..topology.nodes).map(new_node).collect()
}
