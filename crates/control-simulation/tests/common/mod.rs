//! Clusters and clients that the tests share.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use woadstall_control::command::Command;
use woadstall_control::machine::CallResponse;
use woadstall_control_simulation::cluster::{Cluster, Topology};
use woadstall_control_simulation::digest::EventDigest;
pub use woadstall_control_simulation::history::CLIENT_TIMEOUT_MS;
use woadstall_control_simulation::network::{NetworkConditions, STEADY};

/// Three founders in regions of their own.
pub const THREE: Topology = Topology::founders(3);
/// Three founders and one more node in two regions.
pub const FOUR: Topology = Topology {
    nodes: 4,
    founders: 3,
    regions: 2,
    tolerated_failures: 1,
};
/// Three founders and three more nodes in three regions.
pub const SIX: Topology = Topology {
    nodes: 6,
    founders: 3,
    regions: 3,
    tolerated_failures: 2,
};
/// Milliseconds after which a node that is back no longer counts as lost.
pub const CATCH_UP_MS: u64 = 4_000;
/// Milliseconds in which a cluster elects its first leader.
const STARTUP_MS: u64 = 5_000;
/// The subscription of the balancer at each node.
const SUBSCRIBER: u64 = 1;

/// A cluster whose observable events go into a digest.
pub fn recorded(seed: u64, topology: Topology, network: NetworkConditions) -> Cluster {
    let mut cluster = Cluster::with(seed, topology, network);
    cluster.digest = Some(EventDigest::default());
    cluster
}

/// Sets a cluster up; by default three founders in a steady network that have elected a leader.
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

    /// Sets the milliseconds that pass before the test begins.
    pub fn startup_ms(self, startup_ms: u64) -> Self {
        Self { startup_ms, ..self }
    }

    /// Has a balancer subscribe at each node once a leader is elected.
    pub fn with_balancers(self) -> Self {
        Self {
            has_balancers: true,
            ..self
        }
    }

    pub fn build(self) -> Cluster {
        let mut cluster = Cluster::with(self.seed, self.topology, self.network);
        cluster.run(self.startup_ms);
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

/// Submits a command until it is committed, at one node after the other. Returns the number of
/// retries.
pub fn commit(cluster: &mut Cluster, command: &Command) -> usize {
    const MAX_ATTEMPTS: usize = 30;
    for attempt in 0..MAX_ATTEMPTS {
        let node = attempt % cluster.len();
        let token = cluster.submit(node, command.clone());
        for _ in 0..CLIENT_TIMEOUT_MS / 20 {
            cluster.run(20);
            if cluster.responses.contains_key(&token) {
                break;
            }
        }
        match cluster.responses.get(&token) {
            Some(CallResponse::Acknowledged) => return attempt,
            Some(CallResponse::Indeterminate) | None => {}
            rejected => panic!("{command:?} is rejected when retried: {rejected:?}"),
        }
    }
    panic!("{command:?} is never committed");
}

/// Submits a command to one node until it is committed.
pub fn commit_at(cluster: &mut Cluster, node: usize, command: Command) {
    const MAX_ATTEMPTS: usize = 30;
    for _ in 0..MAX_ATTEMPTS {
        let token = cluster.submit(node, command.clone());
        while !cluster.responses.contains_key(&token) {
            cluster.run(20);
        }
        match &cluster.responses[&token] {
            CallResponse::Acknowledged => return,
            CallResponse::Indeterminate => {}
            rejected => panic!("{rejected:?}"),
        }
    }
    panic!("not committed in {MAX_ATTEMPTS} attempts");
}

/// The generation that a node reads, as an operator would.
pub fn read_generation(cluster: &mut Cluster, node: usize) -> Option<u64> {
    let token = cluster.read(node);
    cluster.run(CLIENT_TIMEOUT_MS);
    match cluster.responses.get(&token) {
        Some(CallResponse::Document(document)) => {
            serde_json::from_slice::<serde_json::Value>(document).ok()?["generation"].as_u64()
        }
        _ => None,
    }
}

/// Checks all invariants after the faults have ended.
pub fn assert_sound(cluster: &mut Cluster) {
    cluster.check_all();
    assert_eq!(cluster.invariants.violation, None);
}
