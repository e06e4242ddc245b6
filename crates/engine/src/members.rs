//! The upstreams that are listed: their numbers, addresses and processes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use woadstall_decisions::api::{Lifecycle, ServerEntry, ServerId, ZoneId};

/// An upstream as a list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name, which stays the same over its restarts.
    pub name: String,
    /// Where it listens; `None` if that could not be read. It is then listed, but not sent to.
    pub address: Option<SocketAddr>,
    /// Its zone; `None` if the settings have none of that name.
    pub zone: Option<ZoneId>,
    /// The cell it shares its seen keys with.
    pub cell: u16,
    /// Whether it takes work.
    pub lifecycle: Lifecycle,
    /// Its size, to be compared with the sizes of others.
    pub size: f32,
    /// When its process started, in Unix milliseconds; 0 for long ago.
    pub boot_ms: u64,
}

/// A process of an upstream, as attempts and connections go to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Peer {
    /// The upstream.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started, in Unix milliseconds: another process at the same address has another.
    pub boot_ms: u64,
}

/// An upstream as it is listed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed<'a> {
    /// Its number.
    pub server: ServerId,
    /// Its name.
    pub name: &'a str,
    /// When its process started, in Unix milliseconds.
    pub boot_ms: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its size, if it takes work.
    pub size: Option<f32>,
}

#[derive(Clone, Copy, PartialEq)]
struct Member {
    address: Option<SocketAddr>,
    boot_ms: u64,
    in_service: bool,
    zone: ZoneId,
    size: f32,
}

/// All that are listed. Numbers are never given out twice.
#[derive(Default)]
pub(crate) struct Members {
    /// In the order of their names, so that the same list has the same effect everywhere.
    ids: BTreeMap<String, ServerId>,
    last_id: u32,
    by_id: HashMap<ServerId, Member>,
    /// How often anything was listed.
    changes: u64,
}

impl Members {
    /// Takes an entry; tells the module's form of it, and whether connections to it are of no use any more:
    /// those to a former process, or to one that takes nothing new.
    pub fn take(&mut self, entry: &Entry) -> (ServerEntry, bool) {
        let server = match self.ids.get(&entry.name) {
            Some(&server) => server,
            None => {
                self.last_id += 1;
                self.ids.insert(entry.name.clone(), ServerId(self.last_id));
                ServerId(self.last_id)
            }
        };
        let in_service = entry.lifecycle == Lifecycle::Ready;
        let zone = entry.zone.unwrap_or(ZoneId(u8::MAX));
        let (address, boot_ms, size) = (entry.address, entry.boot_ms, entry.size);
        let member = Member {
            address,
            boot_ms,
            in_service,
            zone,
            size,
        };
        let before = self.by_id.insert(server, member);
        self.changes += 1;
        let same = before.is_some_and(|was| {
            (was.address, was.boot_ms, was.in_service) == (address, boot_ms, in_service)
        });
        let listed = ServerEntry {
            server,
            zone,
            cell: entry.cell,
            lifecycle: entry.lifecycle,
            size: entry.size,
            started: (entry.boot_ms > 0).then(|| entry.boot_ms.saturating_mul(1_000_000)),
        };
        (listed, !in_service || !same)
    }

    /// Forgets the upstreams that are gone, by name or by not being on a whole list, and tells which. Guards
    /// the memory where upstreams are ever new.
    pub fn forget_gone(&mut self, entries: &[Entry], all: bool) -> Vec<ServerId> {
        if !all
            && entries
                .iter()
                .all(|entry| entry.lifecycle != Lifecycle::Removed)
        {
            return Vec::new();
        }
        let named = |gone: bool| {
            let entries = entries
                .iter()
                .filter(move |e| (e.lifecycle == Lifecycle::Removed) == gone);
            entries
                .map(|entry| entry.name.as_str())
                .collect::<HashSet<_>>()
        };
        let (named, gone) = (named(false), named(true));
        let (by_id, changes, mut forgotten) = (&mut self.by_id, &mut self.changes, Vec::new());
        self.ids.retain(|name, server| {
            let stays = !gone.contains(name.as_str()) && (!all || named.contains(name.as_str()));
            if !stays {
                *changes += 1;
                by_id.remove(server);
                forgotten.push(*server);
            }
            stays
        });
        forgotten
    }

    /// The process that an attempt at an upstream goes to.
    pub fn peer(&self, server: ServerId) -> Option<Peer> {
        let member = self.by_id.get(&server)?;
        Some(Peer {
            server,
            address: member.address?,
            boot_ms: member.boot_ms,
        })
    }

    /// Whether a process is still the one to send to.
    pub fn takes_new(&self, peer: &Peer) -> bool {
        let same = |member: &&Member| {
            member.address == Some(peer.address) && member.boot_ms == peer.boot_ms
        };
        self.by_id
            .get(&peer.server)
            .filter(same)
            .is_some_and(|member| member.in_service)
    }

    /// All, and how often that has changed.
    pub fn listed(&self) -> (u64, impl Iterator<Item = Listed<'_>>) {
        let all = self.ids.iter().filter_map(|(name, server)| {
            let member = self.by_id.get(server)?;
            let size = member.in_service.then_some(member.size);
            Some(Listed {
                server: *server,
                name,
                boot_ms: member.boot_ms,
                zone: member.zone,
                size,
            })
        });
        (self.changes, all)
    }

    /// The names of all, in order.
    pub fn names(&self) -> &BTreeMap<String, ServerId> {
        &self.ids
    }

    pub fn len(&self) -> usize {
        self.ids.len()
    }
}
