//! Table of the listed upstreams: their ids, addresses and processes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use woadstall_decisions::api::{Lifecycle, ServerEntry, ServerId, ZoneId};

/// Placeholder for a zone that the settings do not define.
const UNKNOWN_ZONE: ZoneId = ZoneId(u8::MAX);
const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

/// An upstream in a list from discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Name of the upstream, which stays the same when the upstream restarts.
    pub name: String,
    /// Address that the upstream listens on, or `None` if the address in the list is invalid. An upstream without an
    /// address is listed but receives no requests.
    pub address: Option<SocketAddr>,
    /// Zone of the upstream, or `None` if the settings do not define a zone of that name.
    pub zone: Option<ZoneId>,
    /// Cell of the upstream. Upstreams of one cell share the idempotency keys that they have seen.
    pub cell: u16,
    /// Whether the upstream accepts requests.
    pub lifecycle: Lifecycle,
    /// Capacity relative to that of other upstreams.
    pub size: f32,
    /// Start of the process in Unix time, in milliseconds; 0 for a process that started long ago.
    pub boot_ms: u64,
}

/// A process of an upstream, the destination of attempts and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Peer {
    /// Id of the upstream.
    pub server: ServerId,
    /// Address that the process listens on.
    pub address: SocketAddr,
    /// Start of the process in Unix time, in milliseconds. It tells apart successive processes at the same address.
    pub boot_ms: u64,
}

/// A listed upstream, as reported to observers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedUpstream<'a> {
    /// Id of the upstream.
    pub server: ServerId,
    /// Name of the upstream.
    pub name: &'a str,
    /// Start of the process in Unix time, in milliseconds; 0 for a process that started long ago.
    pub boot_ms: u64,
    /// Zone of the upstream.
    pub zone: ZoneId,
    /// Capacity relative to that of other upstreams, or `None` if the upstream does not accept requests.
    pub size: Option<f32>,
}

#[derive(Clone, Copy, PartialEq)]
struct Upstream {
    address: Option<SocketAddr>,
    boot_ms: u64,
    accepts_requests: bool,
    zone: ZoneId,
    size: f32,
}

impl Upstream {
    /// Whether connections to `other` can be used for this upstream as well.
    fn shares_connections_with(&self, other: &Self) -> bool {
        self.address == other.address
            && self.boot_ms == other.boot_ms
            && self.accepts_requests == other.accepts_requests
    }
}

/// Result of inserting an entry into the table.
pub(crate) struct Inserted {
    /// Entry in the form that the decision module expects.
    pub entry: ServerEntry,
    /// Whether existing connections to the upstream must not be used any more, because they lead to a former process
    /// or to a process that accepts no new requests.
    pub retires_connections: bool,
}

/// All listed upstreams. An id is never assigned twice.
#[derive(Default)]
pub(crate) struct Upstreams {
    /// Ids by name, ordered so that the same list has the same effect in every process.
    ids: BTreeMap<String, ServerId>,
    last_id: u32,
    by_id: HashMap<ServerId, Upstream>,
    /// Number of insertions and removals.
    changes: u64,
}

impl Upstreams {
    /// Inserts or updates an entry, and assigns a new id if its name is not listed yet.
    pub fn insert(&mut self, entry: &UpstreamEntry) -> Inserted {
        let server = self.id_of(&entry.name);
        let upstream = Upstream {
            address: entry.address,
            boot_ms: entry.boot_ms,
            accepts_requests: entry.lifecycle == Lifecycle::Ready,
            zone: entry.zone.unwrap_or(UNKNOWN_ZONE),
            size: entry.size,
        };
        let former = self.by_id.insert(server, upstream);
        self.changes += 1;
        let shares_connections =
            former.is_some_and(|former| upstream.shares_connections_with(&former));
        let started = entry.boot_ms.saturating_mul(NANOSECONDS_PER_MILLISECOND);
        Inserted {
            entry: ServerEntry {
                server,
                zone: upstream.zone,
                cell: entry.cell,
                lifecycle: entry.lifecycle,
                size: entry.size,
                started: (entry.boot_ms > 0).then_some(started),
            },
            retires_connections: !upstream.accepts_requests || !shares_connections,
        }
    }

    fn id_of(&mut self, name: &str) -> ServerId {
        if let Some(&server) = self.ids.get(name) {
            return server;
        }
        self.last_id += 1;
        let server = ServerId(self.last_id);
        self.ids.insert(name.to_owned(), server);
        server
    }

    /// Removes the upstreams that have the lifecycle `Removed` or are missing from a complete list, and returns their
    /// ids. Removal bounds the memory use when upstreams with new names appear continually.
    pub fn remove_delisted(
        &mut self,
        entries: &[UpstreamEntry],
        is_complete: bool,
    ) -> Vec<ServerId> {
        let is_removed = |entry: &UpstreamEntry| entry.lifecycle == Lifecycle::Removed;
        if !is_complete && !entries.iter().any(is_removed) {
            return Vec::new();
        }
        let (mut removed_names, mut listed) = (HashSet::new(), HashSet::new());
        for entry in entries {
            let names = if is_removed(entry) {
                &mut removed_names
            } else {
                &mut listed
            };
            names.insert(entry.name.as_str());
        }
        let is_kept =
            |name: &str| !removed_names.contains(name) && (!is_complete || listed.contains(name));
        let mut removed = Vec::new();
        self.ids.retain(|name, server| {
            if is_kept(name) {
                return true;
            }
            removed.push(*server);
            false
        });
        for server in &removed {
            self.by_id.remove(server);
            self.changes += 1;
        }
        removed
    }

    /// Returns the process that an attempt at an upstream is sent to, or `None` if the upstream has no valid address
    /// or is not listed.
    pub fn peer(&self, server: ServerId) -> Option<Peer> {
        let upstream = self.by_id.get(&server)?;
        Some(Peer {
            server,
            address: upstream.address?,
            boot_ms: upstream.boot_ms,
        })
    }

    /// Whether a process is still listed and accepts requests.
    pub fn accepts_new_attempts(&self, peer: &Peer) -> bool {
        self.by_id.get(&peer.server).is_some_and(|upstream| {
            let is_same =
                upstream.address == Some(peer.address) && upstream.boot_ms == peer.boot_ms;
            is_same && upstream.accepts_requests
        })
    }

    /// Returns the number of changes of the table, and all listed upstreams in the order of their names.
    pub fn listed(&self) -> (u64, impl Iterator<Item = ListedUpstream<'_>>) {
        let listed = self.ids.iter().filter_map(|(name, server)| {
            let upstream = self.by_id.get(server)?;
            Some(ListedUpstream {
                server: *server,
                name,
                boot_ms: upstream.boot_ms,
                zone: upstream.zone,
                size: upstream.accepts_requests.then_some(upstream.size),
            })
        });
        (self.changes, listed)
    }

    /// Returns the ids of all listed upstreams by name.
    pub fn ids(&self) -> &BTreeMap<String, ServerId> {
        &self.ids
    }

    pub fn len(&self) -> usize {
        self.ids.len()
    }
}
