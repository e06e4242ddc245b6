//! Clusters and client operations shared by the tests.

#![allow(dead_code, reason = "each test binary uses only some of the items")]

use woadstall_control::command::Command;
use woadstall_control::machine::CallResponse;
use woadstall_control_simulation::cluster::{Cluster, Topology};
use woadstall_control_simulation::digest::EventDigest;
pub use woadstall_control_simulation::history::CLIENT_TIMEOUT_MS;
use woadstall_control_simulation::network::{NetworkConditions, STEADY};

/// Three founders, each in a region of its own.
pub const THREE: Topology = Topology::founders(3);
/// Three founders and one other node in two regions.
pub const FOUR: Topology = Topology {
    nodes: 4,
    founders: 3,
    regions: 2,
    tolerated_failures: 1,
};
/// Three founders and three other nodes in three regions.
pub const SIX: Topology = Topology {
    nodes: 6,
    founders: 3,
    regions: 3,
    tolerated_failures: 2,
};
/// Time after its restart until a node no longer counts as lost, in milliseconds.
pub const CATCH_UP_MS: u64 = 4_000;
/// Time for a cluster to elect its first leader, in milliseconds.
const STARTUP_MS: u64 = 5_000;
/// Subscription of the balancer at each node.
const SUBSCRIBER: u64 = 1;

/// A cluster that records a digest of its events.
pub fn cluster_with_digest(seed: u64, topology: Topology, network: NetworkConditions) -> Cluster {
    let mut cluster = Cluster::with_topology(seed, topology, network);
    cluster.digest = Some(EventDigest::default());
    cluster
}

/// Builds a cluster; by default three founders in a steady network that have elected a leader.
pub struct ClusterBuilder {
    seed: u64,
    topology: Topology,
    network: NetworkConditions,
    startup_ms: u64,
    has_balancers: bool,
}

impl ClusterBuilder {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            topology: THREE,
            network: STEADY,
            startup_ms: STARTUP_MS,
            has_balancers: false,
        }
    }

    pub fn topology(self, topology: Topology) -> Self {
        Self { topology, ..self }
    }

    pub fn network(self, network: NetworkConditions) -> Self {
        Self { network, ..self }
    }

    /// Sets the virtual time that passes before the test starts, in milliseconds.
    pub fn startup_ms(self, startup_ms: u64) -> Self {
        Self { startup_ms, ..self }
    }

    /// Subscribes a balancer at each node after the startup time.
    pub fn with_balancers(self) -> Self {
        Self {
            has_balancers: true,
            ..self
        }
    }

    pub fn build(self) -> Cluster {
        let mut cluster = Cluster::with_topology(self.seed, self.topology, self.network);
        cluster.run_for(self.startup_ms);
        if self.has_balancers {
            (0..cluster.len()).for_each(|node| cluster.subscribe(node, SUBSCRIBER));
        }
        cluster
    }
}

pub fn evacuate() -> Command {
    Command::Evacuate {
        zone: "zone-0".to_owned(),
    }
}

pub fn end_evacuation() -> Command {
    Command::EndEvacuation {
        zone: "zone-0".to_owned(),
    }
}

/// Submits a command to one node after the other until it is committed. Returns the number of
/// retries.
pub fn commit(cluster: &mut Cluster, command: &Command) -> usize {
    const MAX_ATTEMPTS: usize = 30;
    for attempt in 0..MAX_ATTEMPTS {
        let node = attempt % cluster.len();
        let token = cluster.submit(node, command.clone());
        for _ in 0..CLIENT_TIMEOUT_MS / 20 {
            cluster.run_for(20);
            if cluster.responses.contains_key(&token) {
                break;
            }
        }
        match cluster.responses.get(&token) {
            Some(CallResponse::Acknowledged) => return attempt,
            Some(CallResponse::Indeterminate) | None => {}
            rejected => panic!("{command:?} was rejected: {rejected:?}"),
        }
    }
    panic!("{command:?} was not committed in {MAX_ATTEMPTS} attempts");
}

/// Submits a command to one node until it is committed.
pub fn commit_at(cluster: &mut Cluster, node: usize, command: Command) {
    const MAX_ATTEMPTS: usize = 30;
    for _ in 0..MAX_ATTEMPTS {
        let token = cluster.submit(node, command.clone());
        while !cluster.responses.contains_key(&token) {
            cluster.run_for(20);
        }
        match &cluster.responses[&token] {
            CallResponse::Acknowledged => return,
            CallResponse::Indeterminate => {}
            rejected => panic!("the command was rejected: {rejected:?}"),
        }
    }
    panic!("the command was not committed in {MAX_ATTEMPTS} attempts");
}

/// Reads the configuration from a node as an operator. Returns its generation; `None` if the node
/// gave no configuration.
pub fn read_generation(cluster: &mut Cluster, node: usize) -> Option<u64> {
    let token = cluster.read(node);
    cluster.run_for(CLIENT_TIMEOUT_MS);
    match cluster.responses.get(&token) {
        Some(CallResponse::Document(document)) => {
            serde_json::from_slice::<serde_json::Value>(document).ok()?["generation"].as_u64()
        }
        _ => None,
    }
}

/// Checks all invariants. Call it only after the cluster has recovered from all faults.
pub fn assert_invariants(cluster: &mut Cluster) {
    cluster.check_all();
    assert_eq!(cluster.invariants.violation, None);
}
