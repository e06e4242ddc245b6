//! The cluster: nodes with their processes, disks and connections, and clients, driven by virtual
//! time.

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

/// The shape of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Its nodes, each in a zone of its own.
    pub nodes: usize,
    /// How many of them, the first ones, found the group.
    pub founders: usize,
    /// The regions that the nodes are spread over in turn.
    pub regions: usize,
    /// Nodes that may be lost at a time.
    pub tolerated: usize,
}

/// Two machines in each of three regions.
pub const SIX_IN_THREE_REGIONS: Topology = Topology {
    nodes: 6,
    founders: 3,
    regions: 3,
    tolerated: 2,
};

/// For how long watches may resume from a revision that they have received, in milliseconds.
pub const HISTORY_MS: u64 = 5_000;
/// For how long machines are told to keep the history: with the reserve that the process gives.
const KEPT_HISTORY_MS: u64 = 2 * HISTORY_MS + 10_000;
/// The replica id of the first disk that is added later; founders have 1 and up.
const FIRST_ADDED_REPLICA_ID: u64 = 1_001;

/// A line that a process has logged, or a fault.
#[derive(Clone, Debug)]
pub struct LogRecord {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// The node; `None` for what concerns all.
    pub node: Option<NodeIndex>,
    /// The line.
    pub text: String,
}

/// A client, and the number of its latest timer.
struct ClientSlot {
    client: Option<Box<dyn Client>>,
    last_wake: u64,
}

/// The simulated cluster.
pub struct Cluster {
    /// The current time in milliseconds.
    pub now_ms: u64,
    /// The source of all chance.
    pub random: fastrand::Rng,
    /// What clients did.
    pub history: History,
    /// What processes have logged, and the faults.
    pub log: Vec<LogRecord>,
    topology: Topology,
    network: Network,
    nodes: Vec<Node>,
    events: EventQueue<Event>,
    /// Packets on their way.
    packets: BTreeMap<PacketId, Packet>,
    last_packet: PacketId,
    partitions: Vec<Partition>,
    last_partition: u64,
    clients: Vec<ClientSlot>,
    applied_states: AppliedStates,
    next_replica_id: u64,
}

impl Cluster {
    /// A deployment with all processes started.
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
        cluster.schedule(0, Event::Connections);
        cluster.schedule(0, Event::CompareStates);
        cluster
    }

    /// The nodes that were not removed.
    pub fn present_nodes(&self) -> Vec<NodeIndex> {
        let nodes = 0..self.nodes.len();
        nodes.filter(|node| self.nodes[*node].is_present).collect()
    }

    /// The region of a node.
    pub fn region(&self, node: NodeIndex) -> usize {
        self.nodes[node].region
    }

    /// A node's process, if it runs.
    pub fn process(&self, node: NodeIndex) -> Option<&CoordinationMachine> {
        self.nodes[node].process.as_ref()
    }

    /// The leader of the newest term.
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

    /// Two states of different content at one position of the log, if there were any.
    pub fn divergence(&self) -> Option<&StateDivergence> {
        self.applied_states.divergence.as_ref()
    }

    /// Whether committed entries survive for certain when these nodes lose their disks: at least a
    /// quorum's complement of the voters keeps theirs.
    pub fn can_lose_disks(&self, lost: &[NodeIndex]) -> bool {
        let keeps = |member: &Member| {
            let nodes = self.nodes.iter().enumerate();
            let mut kept = nodes.filter(|(node, _)| !lost.contains(node));
            kept.any(|(_, node)| node.is_present && node.disk.durable().id == member.id)
        };
        let memberships = self
            .nodes
            .iter()
            .map(|node| node.disk.durable().log.membership());
        let mut known = memberships.filter(|membership| !membership.voters.is_empty());
        known.all(|membership| {
            membership.voters.is_empty()
                || is_majority(&membership.voters, keeps)
                    && (membership.next_voters.is_empty()
                        || is_majority(&membership.next_voters, keeps))
        })
    }

    /// What processes have logged and the state of their replicas, one a line.
    pub fn describe(&self) -> String {
        let logged = self.log.iter().map(|line| match line.node {
            Some(node) => format!("{} node={node} {}", line.at_ms, line.text),
            None => format!("{} {}", line.at_ms, line.text),
        });
        let replicas = (0..self.nodes.len()).filter_map(|node| self.describe_replica(node));
        logged.chain(replicas).collect::<Vec<_>>().join("\n")
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

fn is_majority(voters: &[Member], keeps: impl Fn(&Member) -> bool) -> bool {
    2 * voters.iter().filter(|member| keeps(member)).count() > voters.len()
}

/// The internal address of the machine that was added as the node with this number.
fn address(node: NodeIndex) -> String {
    format!("10.0.{node}.1:7730")
}

/// The nodes at the beginning: founders know each other, the rest begin with empty disks.
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
        let initial = DurableState::new(node as u64 + 1, initial_snapshot(node));
        Node::new(address(node), node, node % topology.regions, initial)
    };
    (0..topology.nodes).map(new_node).collect()
}
