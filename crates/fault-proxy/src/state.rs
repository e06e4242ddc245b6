//! The state that all proxies of a test share: nodes, their addresses, and the conditions of links.

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

/// A node that reaches others or is reached by them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub u32);

impl NodeId {
    /// The address on which proxies listen for a node. Linux routes all of 127.0.0.0/8 to itself,
    /// so that ports do not run out at any.
    pub(crate) fn proxy_ip(self) -> IpAddr {
        let [_, _, high, low] = self.0.to_be_bytes();
        IpAddr::V4(Ipv4Addr::new(127, 77, high, low))
    }
}

/// One direction between two nodes, as proxies see it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkState {
    pub(crate) conditions: LinkConditions,
    /// The number of resets of all streams over the link so far.
    pub(crate) resets: u64,
}

pub(crate) struct SharedState {
    started_at: Instant,
    seed: u64,
    pub(crate) counters: Counters,
    links: Mutex<HashMap<(NodeId, NodeId), watch::Sender<LinkState>>>,
    /// Whether the process of a node runs.
    running: Mutex<HashMap<NodeId, watch::Sender<bool>>>,
    /// The nodes by the address that they send from.
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

    /// Nanoseconds since the start.
    pub(crate) fn now_ns(&self) -> u64 {
        self.started_at.elapsed().as_nanos() as u64
    }

    /// The instant that is this many nanoseconds after the start.
    pub(crate) fn instant(&self, at_ns: u64) -> Instant {
        self.started_at + Duration::from_nanos(at_ns)
    }

    /// A random number generator of its own for each proxy, stream and direction.
    pub(crate) fn new_rng(&self) -> ChaCha8Rng {
        let number = self.next_rng.fetch_add(1, Ordering::Relaxed);
        ChaCha8Rng::seed_from_u64(self.seed ^ number)
    }

    /// Watches a link.
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

    /// Watches whether a node's process runs; it does from the start.
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

    /// The node that sends from an address.
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
