//! State shared by all proxies of a test: nodes, their addresses, and the conditions of links.

use crate::conditions::LinkConditions;
use crate::counters::Counters;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Identifier of a node, which is one end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub u32);

impl NodeId {
    /// Returns the IP address on which proxies listen for a node. Linux accepts all of 127.0.0.0/8
    /// as local addresses; an address per node avoids running out of ports on a single address.
    pub(crate) fn proxy_ip(self) -> IpAddr {
        let [_, _, high, low] = self.0.to_be_bytes();
        IpAddr::V4(Ipv4Addr::new(127, 77, high, low))
    }
}

/// State of a link, which is one direction between two nodes.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkState {
    pub(crate) conditions: LinkConditions,
    /// Number of times that all streams over the link have been reset.
    pub(crate) resets: u64,
}

pub(crate) struct SharedState {
    started_at: Instant,
    seed: u64,
    pub(crate) counters: Counters,
    links: Mutex<HashMap<(NodeId, NodeId), watch::Sender<LinkState>>>,
    /// Running state of each node's process.
    running: Mutex<HashMap<NodeId, watch::Sender<bool>>>,
    /// Nodes by their source addresses.
    senders: Mutex<HashMap<IpAddr, NodeId>>,
    next_rng: AtomicU64,
}

impl SharedState {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            started_at: Instant::now(),
            seed,
            counters: Counters::default(),
            links: Mutex::default(),
            running: Mutex::default(),
            senders: Mutex::default(),
            next_rng: AtomicU64::new(0),
        }
    }

    /// Returns the time since the creation of the state, in nanoseconds.
    pub(crate) fn now_ns(&self) -> u64 {
        self.started_at.elapsed().as_nanos() as u64
    }

    /// Converts a time in nanoseconds since the creation of the state to an [`Instant`].
    pub(crate) fn instant(&self, at_ns: u64) -> Instant {
        self.started_at + Duration::from_nanos(at_ns)
    }

    /// Creates a random number generator. Each proxy, stream and direction uses its own generator.
    pub(crate) fn new_rng(&self) -> ChaCha8Rng {
        let number = self.next_rng.fetch_add(1, Ordering::Relaxed);
        ChaCha8Rng::seed_from_u64(self.seed ^ number)
    }

    /// Subscribes to the state of a link.
    pub(crate) fn watch_link(&self, from: NodeId, to: NodeId) -> watch::Receiver<LinkState> {
        let mut links = lock(&self.links);
        let link = links
            .entry((from, to))
            .or_insert_with(|| watch::Sender::new(LinkState::default()));
        link.subscribe()
    }

    pub(crate) fn set_conditions(&self, from: NodeId, to: NodeId, conditions: LinkConditions) {
        let mut links = lock(&self.links);
        let link = links
            .entry((from, to))
            .or_insert_with(|| watch::Sender::new(LinkState::default()));
        link.send_if_modified(|link| {
            let is_modified = link.conditions != conditions;
            link.conditions = conditions;
            is_modified
        });
    }

    /// Resets all streams over a link.
    pub(crate) fn reset_streams(&self, from: NodeId, to: NodeId) {
        if let Some(link) = lock(&self.links).get(&(from, to)) {
            link.send_modify(|link| link.resets += 1);
        }
    }

    /// Subscribes to the running state of a node's process. Nodes are initially running.
    pub(crate) fn watch_running(&self, node: NodeId) -> watch::Receiver<bool> {
        let mut running = lock(&self.running);
        let running = running
            .entry(node)
            .or_insert_with(|| watch::Sender::new(true));
        running.subscribe()
    }

    pub(crate) fn set_running(&self, node: NodeId, is_running: bool) {
        let mut running = lock(&self.running);
        let running = running
            .entry(node)
            .or_insert_with(|| watch::Sender::new(true));
        running.send_if_modified(|was_running| {
            std::mem::replace(was_running, is_running) != is_running
        });
    }

    /// Returns the node that sends from a source address.
    pub(crate) fn sender(&self, ip: IpAddr) -> Option<NodeId> {
        lock(&self.senders).get(&ip).copied()
    }

    pub(crate) fn set_sender(&self, ip: IpAddr, node: NodeId) {
        lock(&self.senders).insert(ip, node);
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
