//! The proxies of a test: addresses at which nodes reach each other, and faults on the links.

use crate::conditions::LinkConditions;
use crate::counters::TrafficCounts;
use crate::state::{NodeId, SharedState, lock};
use crate::{shared, tcp, udp};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::task::JoinSet;

/// All proxies of a test. Dropping the value stops the proxies and closes their sockets.
pub struct FaultProxy {
    state: Arc<SharedState>,
    tasks: Mutex<JoinSet<()>>,
    /// Listen addresses of the TCP proxies by client node, server node and target address.
    tcp_proxies: Mutex<BTreeMap<(NodeId, NodeId, SocketAddr), SocketAddr>>,
}

impl FaultProxy {
    /// Creates an instance without proxies. All random numbers derive from the seed.
    pub fn new(seed: u64) -> Self {
        Self {
            state: Arc::new(SharedState::new(seed)),
            tasks: Mutex::default(),
            tcp_proxies: Mutex::default(),
        }
    }

    /// Returns the address at which `from` reaches the TCP listener of `to` at `target`. Repeated
    /// calls with the same arguments return the same address.
    ///
    /// # Errors
    ///
    /// If the proxy cannot bind a listener.
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

    /// Returns the addresses at which two nodes, each with its own UDP socket, reach each other.
    /// The `first` node sends to and receives from the first address, the `second` node sends to
    /// and receives from the second address.
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

    /// Assigns a source address to a node. No other node may send from this address.
    pub fn assign_address(&self, node: NodeId, ip: IpAddr) {
        self.state.set_sender(ip, node);
    }

    /// Returns the address at which all other nodes reach `to`, which receives datagrams and
    /// streams at `target`. Senders are identified by their
    /// [assigned addresses](Self::assign_address). Since many senders share one listener, streams
    /// are established even over a partitioned link; they deliver nothing until the partition
    /// ends.
    ///
    /// # Errors
    ///
    /// If the proxy cannot bind its sockets.
    pub async fn proxy_shared(&self, to: NodeId, target: SocketAddr) -> io::Result<SocketAddr> {
        let (address, task) = shared::proxy(self.state.clone(), to, target).await?;
        lock(&self.tasks).spawn(task);
        Ok(address)
    }

    /// Sets the conditions of a link. Bytes and datagrams already in flight keep the delivery times
    /// that were computed for them.
    pub fn set_conditions(&self, from: NodeId, to: NodeId, conditions: LinkConditions) {
        self.state.set_conditions(from, to, conditions);
    }

    /// Returns the current conditions of a link.
    pub fn conditions(&self, from: NodeId, to: NodeId) -> LinkConditions {
        let link = self.state.watch_link(from, to);
        let link = link.borrow();
        link.conditions.clone()
    }

    /// Resets all streams that use the link from `from` to `to`.
    pub fn reset_streams(&self, from: NodeId, to: NodeId) {
        self.state.reset_streams(from, to);
    }

    /// Sets whether a node's process is running. The proxies refuse new streams to a stopped node,
    /// as the host of a stopped process does. If the proxies accepted them, callers would wrongly
    /// conclude that the process is running.
    pub fn set_running(&self, node: NodeId, is_running: bool) {
        self.state.set_running(node, is_running);
    }

    /// Returns the traffic counters of all proxies.
    pub fn counts(&self) -> TrafficCounts {
        self.state.counters.read()
    }
}
