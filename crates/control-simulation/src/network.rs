//! The simulated network: one ordered connection in each direction between each pair of nodes, as
//! TCP gives it.

use crate::NodeIndex;
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds after which a sender gives up a connection on which nothing is acknowledged (the
/// user timeout of RFC 5482).
pub const USER_TIMEOUT_MS: u64 = 2_000;
/// Milliseconds before a lost connection is established again.
pub const RECONNECT_DELAY_MS: u64 = 250;

/// The number of a packet among all that were sent.
pub type PacketId = usize;

/// One direction between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The sender.
    pub from: NodeIndex,
    /// The receiver.
    pub to: NodeIndex,
}

impl Link {
    /// The same two nodes in the other direction.
    fn reversed(self) -> Self {
        Self {
            from: self.to,
            to: self.from,
        }
    }
}

/// The latencies that a packet may have, drawn uniformly.
#[derive(Clone, Copy, Debug)]
pub struct LatencyRange {
    /// The lowest, in milliseconds.
    pub min_ms: u64,
    /// The highest, in milliseconds.
    pub max_ms: u64,
}

/// How the network behaves.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// The latency of a packet.
    pub latency: LatencyRange,
    /// The bandwidth of a connection in bytes per millisecond; 0 for no limit.
    pub bytes_per_ms: u64,
    /// The most milliseconds by which packets may still arrive after their sender gave up the
    /// connection; 0 if they are lost.
    pub delayed_delivery_ms: u64,
}

/// Constant latency between regions, nothing arrives late.
pub const STEADY: NetworkConditions = NetworkConditions {
    latency: LatencyRange {
        min_ms: 60,
        max_ms: 60,
    },
    bytes_per_ms: 0,
    delayed_delivery_ms: 0,
};
/// Varying latency, and packets of former connections that arrive late, among those of newer ones.
pub const DELAYED_DELIVERY: NetworkConditions = NetworkConditions {
    latency: LatencyRange {
        min_ms: 5,
        max_ms: 120,
    },
    bytes_per_ms: 0,
    delayed_delivery_ms: 25_000,
};

/// The connection over one link.
#[derive(Clone, Debug, Default)]
struct Connection {
    is_up: bool,
    /// When the last packet sent so far arrives.
    last_arrival_ms: u64,
    /// When the link has transmitted all bytes sent so far.
    idle_at_ms: u64,
    /// Packets that a partition holds back, oldest first.
    buffered: Vec<PacketId>,
    /// Since when packets are buffered without an acknowledgement.
    buffered_since_ms: Option<u64>,
    /// When it may be established again.
    retry_at_ms: u64,
}

/// A packet on its way into the network.
#[derive(Clone, Copy, Debug)]
pub struct Transmission {
    /// The link that it takes.
    pub link: Link,
    /// The packet.
    pub packet: PacketId,
    /// Its size in bytes; only counted where the bandwidth is limited.
    pub bytes: u64,
    /// Its latency in milliseconds.
    pub latency_ms: u64,
}

/// All connections, and the partitions between nodes.
#[derive(Clone, Debug)]
pub struct Network {
    /// How it behaves.
    pub conditions: NetworkConditions,
    connections: BTreeMap<Link, Connection>,
    /// Links over which nothing passes.
    partitioned: BTreeSet<Link>,
}

impl Network {
    /// A network without connections.
    pub fn new(conditions: NetworkConditions) -> Self {
        Self {
            conditions,
            connections: BTreeMap::new(),
            partitioned: BTreeSet::new(),
        }
    }

    /// Partitions one direction: nothing passes from one node to another any more.
    pub fn partition_direction(&mut self, from: NodeIndex, to: NodeIndex) {
        self.partitioned.insert(Link { from, to });
    }

    /// Partitions two nodes in both directions.
    pub fn partition(&mut self, one: NodeIndex, other: NodeIndex) {
        self.partition_direction(one, other);
        self.partition_direction(other, one);
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitioned.clear();
    }

    /// Whether packets pass over a link.
    pub fn is_reachable(&self, link: Link) -> bool {
        !self.partitioned.contains(&link)
    }

    /// Whether the connection over a link is up.
    pub fn is_up(&self, link: Link) -> bool {
        self.connections
            .get(&link)
            .is_some_and(|connection| connection.is_up)
    }

    /// Sends a packet at a time. Returns when it arrives, or `None` if it is buffered by a
    /// partition or there is no connection.
    pub fn send(&mut self, now_ms: u64, transmission: Transmission) -> Option<u64> {
        let Transmission {
            link,
            packet,
            bytes,
            latency_ms,
        } = transmission;
        let is_reachable = self.is_reachable(link);
        let bytes_per_ms = self.conditions.bytes_per_ms;
        let connection = self.connections.get_mut(&link)?;
        if !connection.is_up {
            return None;
        }
        if !is_reachable || !connection.buffered.is_empty() {
            connection.buffered.push(packet);
            connection.buffered_since_ms.get_or_insert(now_ms);
            return None;
        }
        let transmission_ms = bytes.checked_div(bytes_per_ms).unwrap_or_default();
        connection.idle_at_ms = connection.idle_at_ms.max(now_ms) + transmission_ms;
        let arrival_ms = connection.idle_at_ms + latency_ms;
        connection.last_arrival_ms = connection.last_arrival_ms.max(arrival_ms);
        Some(connection.last_arrival_ms)
    }

    /// Establishes a connection if that is possible now. Returns whether it has come up.
    pub fn connect(&mut self, now_ms: u64, link: Link) -> bool {
        let is_reachable = self.is_reachable(link) && self.is_reachable(link.reversed());
        let connection = self.connections.entry(link).or_default();
        if connection.is_up || !is_reachable || now_ms < connection.retry_at_ms {
            return false;
        }
        *connection = Connection {
            is_up: true,
            ..Connection::default()
        };
        true
    }

    /// Resets a connection. Returns the packets that it had buffered.
    pub fn reset(&mut self, now_ms: u64, link: Link) -> Vec<PacketId> {
        let Some(connection) = self.connections.get_mut(&link) else {
            return Vec::new();
        };
        let buffered = std::mem::take(&mut connection.buffered);
        let retry_at_ms = now_ms + RECONNECT_DELAY_MS;
        *connection = Connection {
            retry_at_ms,
            ..Connection::default()
        };
        buffered
    }

    /// The links whose connection has reached [`USER_TIMEOUT_MS`].
    pub fn timed_out(&self, now_ms: u64) -> Vec<Link> {
        let has_timed_out = |connection: &Connection| {
            let since_ms = connection.buffered_since_ms;
            connection.is_up
                && since_ms.is_some_and(|since_ms| now_ms >= since_ms + USER_TIMEOUT_MS)
        };
        let timed_out = self
            .connections
            .iter()
            .filter(|(_, connection)| has_timed_out(connection));
        timed_out.map(|(link, _)| *link).collect()
    }

    /// Takes the packets whose partition has ended, by link and in order.
    pub fn take_released(&mut self) -> Vec<(Link, Vec<PacketId>)> {
        let mut released = Vec::new();
        for (link, connection) in &mut self.connections {
            if self.partitioned.contains(link) || connection.buffered.is_empty() {
                continue;
            }
            connection.buffered_since_ms = None;
            released.push((*link, std::mem::take(&mut connection.buffered)));
        }
        released
    }
}
