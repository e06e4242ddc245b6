//! The upstreams that are listed: their numbers, addresses and processes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use woadstall_decisions::api::{Lifecycle, ServerEntry, ServerId, ZoneId};

/// Stands for a zone that the settings do not have.
const UNKNOWN_ZONE: ZoneId = ZoneId(u8::MAX);
const NANOS_PER_MILLI: u64 = 1_000_000;

/// An upstream as a list of endpoints names it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Its name, which stays the same over its restarts.
    pub name: String,
    /// Where it listens; `None` if that could not be read. It is then listed, but gets no requests.
    pub address: Option<SocketAddr>,
    /// Its zone; `None` if the settings have none of that name.
    pub zone: Option<ZoneId>,
    /// The cell that it shares seen idempotency keys with.
    pub cell: u16,
    /// Whether it takes requests.
    pub lifecycle: Lifecycle,
    /// Its capacity relative to that of others.
    pub size: f32,
    /// When its process started, Unix time in milliseconds; 0 for long ago.
    pub boot_ms: u64,
}

/// A process of an upstream, as attempts and connections go to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Peer {
    /// The upstream.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started, Unix time in milliseconds: another process at the same address has another.
    pub boot_ms: u64,
}

/// An upstream that is listed, for observers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedUpstream<'a> {
    /// Its number.
    pub server: ServerId,
    /// Its name.
    pub name: &'a str,
    /// When its process started, Unix time in milliseconds.
    pub boot_ms: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its capacity relative to that of others, if it takes requests.
    pub size: Option<f32>,
}

#[derive(Clone, Copy, PartialEq)]
struct Upstream {
    address: Option<SocketAddr>,
    boot_ms: u64,
    in_service: bool,
    zone: ZoneId,
    size: f32,
}

impl Upstream {
    /// Whether connections to `other` serve this one as well.
    fn shares_connections_with(&self, other: &Self) -> bool {
        self.address == other.address
            && self.boot_ms == other.boot_ms
            && self.in_service == other.in_service
    }
}

/// An entry that was taken into the table.
pub(crate) struct Inserted {
    /// The entry as the decision module takes it.
    pub entry: ServerEntry,
    /// Connections to it must not be used any more: they go to a former process, or to one that takes nothing new.
    pub retires_connections: bool,
}

/// All upstreams that are listed. Numbers are never given out twice.
#[derive(Default)]
pub(crate) struct Upstreams {
    /// In the order of their names, so that the same list has the same effect everywhere.
    ids: BTreeMap<String, ServerId>,
    last_id: u32,
    by_id: HashMap<ServerId, Upstream>,
    /// How often an entry was inserted or removed.
    changes: u64,
}

impl Upstreams {
    /// Takes an entry into the table, under a new number if its name is new.
    pub fn insert(&mut self, entry: &UpstreamEntry) -> Inserted {
        let server = self.id_of(&entry.name);
        let upstream = Upstream {
            address: entry.address,
            boot_ms: entry.boot_ms,
            in_service: entry.lifecycle == Lifecycle::Ready,
            zone: entry.zone.unwrap_or(UNKNOWN_ZONE),
            size: entry.size,
        };
        let former = self.by_id.insert(server, upstream);
        self.changes += 1;
        let shares = former.is_some_and(|former| upstream.shares_connections_with(&former));
        let started = entry.boot_ms.saturating_mul(NANOS_PER_MILLI);
        Inserted {
            entry: ServerEntry {
                server,
                zone: upstream.zone,
                cell: entry.cell,
                lifecycle: entry.lifecycle,
                size: entry.size,
                started: (entry.boot_ms > 0).then_some(started),
            },
            retires_connections: !upstream.in_service || !shares,
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

    /// Removes the upstreams that are gone, by their lifecycle or by not being on a complete list, and returns which.
    /// Bounds the memory where upstreams are ever new.
    pub fn remove_delisted(
        &mut self,
        entries: &[UpstreamEntry],
        is_complete: bool,
    ) -> Vec<ServerId> {
        let is_removed = |entry: &UpstreamEntry| entry.lifecycle == Lifecycle::Removed;
        if !is_complete && !entries.iter().any(is_removed) {
            return Vec::new();
        }
        let (mut gone, mut listed) = (HashSet::new(), HashSet::new());
        for entry in entries {
            let names = if is_removed(entry) {
                &mut gone
            } else {
                &mut listed
            };
            names.insert(entry.name.as_str());
        }
        let stays = |name: &str| !gone.contains(name) && (!is_complete || listed.contains(name));
        let mut removed = Vec::new();
        self.ids.retain(|name, server| {
            if stays(name) {
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

    /// The process that an attempt at an upstream goes to.
    pub fn peer(&self, server: ServerId) -> Option<Peer> {
        let upstream = self.by_id.get(&server)?;
        Some(Peer {
            server,
            address: upstream.address?,
            boot_ms: upstream.boot_ms,
        })
    }

    /// Whether a process is still listed and takes requests.
    pub fn accepts_new_attempts(&self, peer: &Peer) -> bool {
        self.by_id.get(&peer.server).is_some_and(|upstream| {
            let is_same =
                upstream.address == Some(peer.address) && upstream.boot_ms == peer.boot_ms;
            is_same && upstream.in_service
        })
    }

    /// How often the table has changed, and all of it in the order of names.
    pub fn listed(&self) -> (u64, impl Iterator<Item = ListedUpstream<'_>>) {
        let listed = self.ids.iter().filter_map(|(name, server)| {
            let upstream = self.by_id.get(server)?;
            Some(ListedUpstream {
                server: *server,
                name,
                boot_ms: upstream.boot_ms,
                zone: upstream.zone,
                size: upstream.in_service.then_some(upstream.size),
            })
        });
        (self.changes, listed)
    }

    /// The numbers of all, in the order of names.
    pub fn ids(&self) -> &BTreeMap<String, ServerId> {
        &self.ids
    }

    pub fn len(&self) -> usize {
        self.ids.len()
    }
}
