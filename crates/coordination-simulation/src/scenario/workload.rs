//! The clients that run while faults are injected.

use crate::clients::{
    KeyClient, LeaseUsage, LockClient, SavedRevisions, SequenceClient, WatchClient,
};
use crate::cluster::Cluster;
use woadstall_control_simulation::NodeIndex;

const LOCKS: usize = 4;
const SEQUENCES: usize = 2;
const CLIENTS_PER_SEQUENCE: usize = 3;
const GROUPS: usize = 3;
const KEYS_PER_GROUP: usize = 5;
const KEY_CLIENTS: usize = 8;
const WATCH_CLIENTS_PER_GROUP: usize = 2;
/// Clients send their first requests at random times within this period, in milliseconds.
const START_PERIOD_MS: u64 = 300;
/// The lease usages of the clients that compete for each lock.
const LEASE_USAGES: [LeaseUsage; 5] = [
    LeaseUsage::ReleaseEarly,
    LeaseUsage::ReleaseEarly,
    LeaseUsage::RenewRepeatedly,
    LeaseUsage::Crash,
    LeaseUsage::RenewAfterExpiry,
];

/// Names of all locks.
pub(super) fn locks() -> Vec<String> {
    (0..LOCKS).map(|lock| format!("lock-{lock}")).collect()
}

/// Names of all sequences.
pub(super) fn sequences() -> Vec<String> {
    let names = (0..SEQUENCES).map(|sequence| format!("sequence-{sequence}"));
    names.collect()
}

/// Names of all groups of keys.
pub(super) fn groups() -> Vec<String> {
    (0..GROUPS).map(|group| format!("group-{group}")).collect()
}

/// Keys of all groups.
pub(super) fn keys() -> Vec<String> {
    let of_group = |group: String| (0..KEYS_PER_GROUP).map(move |key| format!("{group}.{key}"));
    groups().into_iter().flat_map(of_group).collect()
}

/// Adds all clients. Watch clients add the revisions that they receive to `saved`.
pub(super) fn add_clients(cluster: &mut Cluster, saved: &SavedRevisions) {
    for lock in locks() {
        for (number, usage) in LEASE_USAGES.into_iter().enumerate() {
            let owner = format!("caller-{number}");
            let node = random_node(cluster);
            let client = LockClient::new(lock.clone(), owner, usage, node);
            add_client(cluster, client);
        }
    }
    for sequence in sequences() {
        for _ in 0..CLIENTS_PER_SEQUENCE {
            let client = SequenceClient::new(sequence.clone(), random_node(cluster));
            add_client(cluster, client);
        }
    }
    for number in 0..KEY_CLIENTS {
        let name = format!("value-{number}");
        let client = KeyClient::new(name, keys(), random_node(cluster));
        add_client(cluster, client);
    }
    for group in groups() {
        for _ in 0..WATCH_CLIENTS_PER_GROUP {
            let watch_client = WatchClient::new(group.clone(), random_node(cluster), saved.clone());
            add_client(cluster, watch_client);
        }
    }
}

fn random_node(cluster: &mut Cluster) -> NodeIndex {
    let present_nodes = cluster.present_nodes();
    cluster.random.choice(present_nodes).unwrap_or_default()
}

fn add_client(cluster: &mut Cluster, client: impl crate::clients::Client + 'static) {
    let delay_ms = cluster.random.u64(..START_PERIOD_MS);
    cluster.add_client(Box::new(client), delay_ms);
}
