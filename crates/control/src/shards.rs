//! Which control machine owns which part of the state, and which ones a balancer's heartbeats go to.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Parts that the registrations are divided into by a hash of the service's name. More than there are machines, so that
/// each machine's share is about even; few enough that each has traffic of its own.
pub const SHARDS: u32 = 64;
/// Replicas that keep a shard's registrations beside its owner's judgement of silence.
pub const MONITORS: usize = 3;

/// The shard of a service.
pub fn shard_of(service: &str) -> u32 {
    (hash(&service) % u64::from(SHARDS)) as u32
}

/// The machines of a shard, the owner first: those with the highest weights by rendezvous hashing, so that only the shards
/// of a machine that comes or goes move.
pub fn replica_group<'a>(
    shard: u32,
    machines: impl IntoIterator<Item = &'a str>,
    most: usize,
) -> Vec<&'a str> {
    let mut weighted: Vec<(u64, &str)> = machines
        .into_iter()
        .map(|machine| (hash(&(shard, machine)), machine))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted
        .into_iter()
        .take(most)
        .map(|(_, machine)| machine)
        .collect()
}

/// The monitors of a balancer: the machines that follow its name on a ring.
pub fn monitors<'a>(
    balancer: &str,
    machines: impl IntoIterator<Item = &'a str>,
    most: usize,
) -> Vec<&'a str> {
    let position = hash(&balancer);
    let distance = |machine: &str| hash(&machine).wrapping_sub(position);
    let mut ring: Vec<(u64, &str)> = machines
        .into_iter()
        .map(|machine| (distance(machine), machine))
        .collect();
    ring.sort_unstable();
    ring.into_iter()
        .take(most)
        .map(|(_, machine)| machine)
        .collect()
}

/// A short hash of a name, for lists of many.
pub fn short_hash(name: &str) -> u32 {
    (hash(&name) >> 32) as u32
}

/// A hash that is the same in every process of one program.
pub fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
