//! The upstreams that are listed: their numbers, addresses and processes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use woadstall_decisions::api::{Lifecycle, ListEntry, ServerId, ZoneId};

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

#[derive(Clone, Copy, PartialEq, Eq)]
struct Member {
    address: Option<SocketAddr>,
    boot_ms: u64,
    in_service: bool,
}

/// All that are listed. Numbers are never given out twice.
#[derive(Default)]
pub(crate) struct Members {
    /// In the order of their names, so that the same list has the same effect everywhere.
    ids: BTreeMap<String, ServerId>,
    last_id: u32,
    by_id: HashMap<ServerId, Member>,
}

impl Members {
    /// Takes an entry; tells the module's form of it, and whether connections to it are of no use any more:
    /// those to a former process, or to one that takes nothing new.
    pub fn take(&mut self, entry: &Entry) -> (ListEntry, bool) {
        let server = match self.ids.get(&entry.name) {
            Some(&server) => server,
            None => {
                self.last_id += 1;
                self.ids.insert(entry.name.clone(), ServerId(self.last_id));
                ServerId(self.last_id)
            }
        };
        let in_service = entry.lifecycle == Lifecycle::Ready;
        let member = Member { address: entry.address, boot_ms: entry.boot_ms, in_service };
        let before = self.by_id.insert(server, member);
        let listed = ListEntry {
            server,
            zone: entry.zone.unwrap_or(ZoneId(u8::MAX)),
            cell: entry.cell,
            lifecycle: entry.lifecycle,
            size: entry.size,
            started: (entry.boot_ms > 0).then(|| entry.boot_ms.saturating_mul(1_000_000)),
        };
        (listed, !in_service || before != Some(member))
    }

    /// Forgets the upstreams that are gone, by name or by not being on a whole list, and tells which. Guards
    /// the memory where upstreams are ever new.
    pub fn forget_gone(&mut self, entries: &[Entry], all: bool) -> Vec<ServerId> {
        if !all && entries.iter().all(|entry| entry.lifecycle != Lifecycle::Gone) {
            return Vec::new();
        }
        let named = |gone: bool| {
            let entries = entries.iter().filter(move |e| (e.lifecycle == Lifecycle::Gone) == gone);
            entries.map(|entry| entry.name.as_str()).collect::<HashSet<_>>()
        };
        let (named, gone) = (named(false), named(true));
        let (by_id, mut forgotten) = (&mut self.by_id, Vec::new());
        self.ids.retain(|name, server| {
            let stays = !gone.contains(name.as_str()) && (!all || named.contains(name.as_str()));
            if !stays {
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
        Some(Peer { server, address: member.address?, boot_ms: member.boot_ms })
    }

    /// Whether a process is still the one to send to.
    pub fn takes_new(&self, peer: &Peer) -> bool {
        let same = |member: &&Member| member.address == Some(peer.address) && member.boot_ms == peer.boot_ms;
        self.by_id.get(&peer.server).filter(same).is_some_and(|member| member.in_service)
    }

    /// The names of all, in order.
    pub fn names(&self) -> &BTreeMap<String, ServerId> {
        &self.ids
    }

    pub fn len(&self) -> usize {
        self.ids.len()
    }
}
