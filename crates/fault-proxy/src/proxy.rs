//! The proxies of a test: which node reaches which by what address, and the faults between them.

use crate::conditions::LinkConditions;
use crate::counters::TrafficCounts;
use crate::state::{NodeId, SharedState, lock};
use crate::{shared, tcp, udp};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::task::JoinSet;

/// All proxies of a test. They end, and their sockets with them, when this is dropped.
pub struct FaultProxy {
    state: Arc<SharedState>,
    tasks: Mutex<JoinSet<()>>,
    /// The addresses of TCP proxies, by pair and target.
    tcp_proxies: Mutex<BTreeMap<(NodeId, NodeId, SocketAddr), SocketAddr>>,
}

impl FaultProxy {
    /// No proxies yet. All chance comes from the seed.
    pub fn new(seed: u64) -> Self {
        Self {
            state: Arc::new(SharedState::new(seed)),
            tasks: Mutex::default(),
            tcp_proxies: Mutex::default(),
        }
    }

    /// The address at which `from` reaches `to`, which listens for TCP at `target`. The same call
    /// gives the same address.
    ///
    /// # Errors
    ///
    /// If no socket can listen there.
    pub async fn proxy_tcp(
        &self,
        from: NodeId,
        to: NodeId,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        if let Some(address) = lock(&self.tcp_proxies).get(&(from, to, target)) {
            return Ok(*address);
        }
        let (address, task) = tcp::proxy(self.state.clone(), from, to, target)?;
        lock(&self.tasks).spawn(task);
        lock(&self.tcp_proxies).insert((from, to, target), address);
        Ok(address)
    }

    /// The addresses at which two nodes, each with a UDP socket of its own, reach each other: the
    /// first is the one that `one` sends to and receives from, the second is `other`'s.
    ///
    /// # Errors
    ///
    /// If a socket cannot be bound.
    pub async fn proxy_udp(
        &self,
        first: (NodeId, SocketAddr),
        second: (NodeId, SocketAddr),
    ) -> io::Result<(SocketAddr, SocketAddr)> {
        let (addresses, task) = udp::proxy(self.state.clone(), first, second).await?;
        lock(&self.tasks).spawn(task);
        Ok(addresses)
    }

    /// A node sends from this address, and no other node does.
    pub fn assign_address(&self, node: NodeId, ip: IpAddr) {
        self.state.set_sender(ip, node);
    }

    /// The address at which all others reach `to`, which receives datagrams and streams at
    /// `target`. Senders are known by their [assigned addresses](Self::assign_address). Streams
    /// come up here even over a partitioned link, and deliver nothing until the partition ends,
    /// since many senders share one listener.
    ///
    /// # Errors
    ///
    /// If no socket can listen there.
    pub async fn proxy_shared(&self, to: NodeId, target: SocketAddr) -> io::Result<SocketAddr> {
        let (address, task) = shared::proxy(self.state.clone(), to, target).await?;
        lock(&self.tasks).spawn(task);
        Ok(address)
    }

    /// Sets the conditions of a link from now on. What is in flight already keeps the time that it
    /// was given.
    pub fn set_conditions(&self, from: NodeId, to: NodeId, conditions: LinkConditions) {
        self.state.set_conditions(from, to, conditions);
    }

    /// The conditions of a link.
    pub fn conditions(&self, from: NodeId, to: NodeId) -> LinkConditions {
        let link = self.state.watch_link(from, to);
        let link = link.borrow();
        link.conditions.clone()
    }

    /// Resets all streams that `from` has opened to `to`.
    pub fn reset_streams(&self, from: NodeId, to: NodeId) {
        self.state.reset_streams(from, to);
    }

    /// Sets whether a node's process runs. While it does not, new streams to it are refused, as its
    /// host would: a proxy that accepted them would tell callers that something has come up.
    pub fn set_running(&self, node: NodeId, is_running: bool) {
        self.state.set_running(node, is_running);
    }

    /// What has gone through the proxies so far.
    pub fn counts(&self) -> TrafficCounts {
        self.state.counters.read()
    }
}
