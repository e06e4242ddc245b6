//! The clients of a scenario.

use crate::clients::{
    KeyClient, LeaseUsage, LockClient, SavedRevisions, SequenceClient, WatchClient,
};
use crate::cluster::Cluster;
use woadstall_control_simulation::NodeIndex;

const LOCKS: usize = 4;
const SEQUENCES: usize = 2;
const CALLERS_OF_A_SEQUENCE: usize = 3;
const GROUPS: usize = 3;
const KEYS_OF_A_GROUP: usize = 5;
const KEY_CALLERS: usize = 8;
const WATCHERS_OF_A_GROUP: usize = 2;
/// Clients begin within so many milliseconds.
const SPREAD_MS: u64 = 300;
/// All competitors for a lock.
const LEASE_USAGES: [LeaseUsage; 5] = [
    LeaseUsage::ReleaseEarly,
    LeaseUsage::ReleaseEarly,
    LeaseUsage::RenewRepeatedly,
    LeaseUsage::Crash,
    LeaseUsage::Oversleep,
];

/// The names of all locks.
pub(super) fn locks() -> Vec<String> {
    (0..LOCKS).map(|lock| format!("lock-{lock}")).collect()
}

/// The names of all sequences.
pub(super) fn sequences() -> Vec<String> {
    let names = (0..SEQUENCES).map(|sequence| format!("sequence-{sequence}"));
    names.collect()
}

/// The names of all groups of keys.
pub(super) fn groups() -> Vec<String> {
    (0..GROUPS).map(|group| format!("group-{group}")).collect()
}

/// All keys.
pub(super) fn keys() -> Vec<String> {
    let of_group = |group: String| (0..KEYS_OF_A_GROUP).map(move |key| format!("{group}.{key}"));
    groups().into_iter().flat_map(of_group).collect()
}

/// Adds all clients; watchers record what they have received in `saved`.
pub(super) fn add_clients(cluster: &mut Cluster, saved: &SavedRevisions) {
    for lock in locks() {
        for (number, usage) in LEASE_USAGES.into_iter().enumerate() {
            let owner = format!("caller-{number}");
            let node = any_node(cluster);
            let caller = LockClient::new(lock.clone(), owner, usage, node);
            add(cluster, caller);
        }
    }
    for sequence in sequences() {
        for _ in 0..CALLERS_OF_A_SEQUENCE {
            let caller = SequenceClient::new(sequence.clone(), any_node(cluster));
            add(cluster, caller);
        }
    }
    for number in 0..KEY_CALLERS {
        let name = format!("value-{number}");
        let caller = KeyClient::new(name, keys(), any_node(cluster));
        add(cluster, caller);
    }
    for group in groups() {
        for _ in 0..WATCHERS_OF_A_GROUP {
            let watch_client = WatchClient::new(group.clone(), any_node(cluster), saved.clone());
            add(cluster, watch_client);
        }
    }
}

fn any_node(cluster: &mut Cluster) -> NodeIndex {
    let present_nodes = cluster.present_nodes();
    cluster.random.choice(present_nodes).unwrap_or_default()
}

fn add(cluster: &mut Cluster, client: impl crate::clients::Client + 'static) {
    let delay_ms = cluster.random.u64(..SPREAD_MS);
    cluster.add_client(Box::new(client), delay_ms);
}
