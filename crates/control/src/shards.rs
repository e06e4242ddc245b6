//! Assignment of registration shards to control machines, and of monitors to balancers.

use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// The number of shards into which registrations are divided by a hash of the service name. There
/// are more shards than machines, so that each machine's share is about even, and few enough that
/// every shard has traffic.
pub const SHARD_COUNT: u32 = 64;
/// The number of machines in a shard's replica group, and of machines that monitor a balancer.
pub const MONITOR_COUNT: usize = 3;

/// Returns the shard of a service.
pub fn shard_of(service: &str) -> u32 {
    (hash(&service) % u64::from(SHARD_COUNT)) as u32
}

/// Returns the machines of a shard, at most `limit`, beginning with the owner. Machines are ranked
/// by rendezvous hashing, so that only the shards of an added or removed machine move.
pub fn replica_group<'a>(
    shard: u32,
    machines: impl IntoIterator<Item = &'a str>,
    limit: usize,
) -> Vec<&'a str> {
    let mut weighted: Vec<(u64, &str)> = machines
        .into_iter()
        .map(|machine| (hash(&(shard, machine)), machine))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted
        .into_iter()
        .take(limit)
        .map(|(_, machine)| machine)
        .collect()
}

/// Returns the monitors of a balancer, at most `limit`: the machines that follow the hash of the
/// balancer's name on a ring of hashes.
pub fn monitors<'a>(
    balancer: &str,
    machines: impl IntoIterator<Item = &'a str>,
    limit: usize,
) -> Vec<&'a str> {
    let position = hash(&balancer);
    let distance = |machine: &str| hash(&machine).wrapping_sub(position);
    let mut ring: Vec<(u64, &str)> = machines
        .into_iter()
        .map(|machine| (distance(machine), machine))
        .collect();
    ring.sort_unstable();
    ring.into_iter()
        .take(limit)
        .map(|(_, machine)| machine)
        .collect()
}

/// Returns a 32-bit hash of a name, for messages that contain many names.
pub fn short_hash(name: &str) -> u32 {
    (hash(&name) >> 32) as u32
}

/// Returns the SipHash-1-3 of a value with zero keys, which is the same in every process of every
/// version. The identities of founders on disk and the owners of shards depend on it. The golden
/// tests fix how strings and tuples are fed to the hasher.
pub fn hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}
