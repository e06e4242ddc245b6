//! Which control machine owns which shard of the registrations, and which ones monitor a balancer.

use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// The number of shards of the registrations, by a hash of the service's name. More than there are
/// machines, so that each machine's share is about even; few enough that each has traffic of its
/// own.
pub const SHARD_COUNT: u32 = 64;
/// The number of machines in a shard's replica group, and of those that monitor a balancer.
pub const MONITOR_COUNT: usize = 3;

/// The shard of a service.
pub fn shard_of(service: &str) -> u32 {
    (hash(&service) % u64::from(SHARD_COUNT)) as u32
}

/// The machines of a shard, at most `limit`, the owner first: those with the highest weights by
/// rendezvous hashing, so that only the shards of a machine that comes or goes move.
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

/// The monitors of a balancer, at most `limit`: the machines that follow its name on a ring of
/// hashes.
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

/// A hash of a name with 32 bits, for messages that name many.
pub fn short_hash(name: &str) -> u32 {
    (hash(&name) >> 32) as u32
}

/// A hash that is the same in every process of every version: SipHash-1-3 with zero keys. Identities
/// of founders on disk and the owners of shards depend on it; how strings and tuples are fed to it
/// is pinned by the golden tests.
pub fn hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}
