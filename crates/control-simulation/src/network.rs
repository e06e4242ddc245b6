//! The simulated network. Each pair of nodes has one connection per direction, which delivers
//! packets in order like a TCP connection.

use crate::NodeIndex;
use std::collections::{BTreeMap, BTreeSet};

/// Time without an acknowledgement after which a sender closes a connection, in milliseconds (the
/// TCP user timeout of RFC 5482).
pub const USER_TIMEOUT_MS: u64 = 2_000;
/// Minimum time before a reset connection is established again, in milliseconds.
pub const RECONNECT_DELAY_MS: u64 = 250;

/// Number of a packet in the order of sending.
pub type PacketId = usize;

/// One direction of traffic between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The sending node.
    pub from: NodeIndex,
    /// The receiving node.
    pub to: NodeIndex,
}

impl Link {
    /// The link of the opposite direction.
    fn reversed(self) -> Self {
        Self {
            from: self.to,
            to: self.from,
        }
    }
}

/// Range of packet latencies, with a uniform distribution.
#[derive(Clone, Copy, Debug)]
pub struct LatencyRange {
    /// Minimum latency, in milliseconds.
    pub min_ms: u64,
    /// Maximum latency, in milliseconds.
    pub max_ms: u64,
}

/// Properties of the network.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// One-way latency of packets.
    pub latency: LatencyRange,
    /// Bandwidth of a connection, in bytes per millisecond; 0 for no limit.
    pub bytes_per_ms: u64,
    /// Maximum delay of buffered packets that arrive after their connection was reset, in
    /// milliseconds; 0 if these packets are lost.
    pub delayed_delivery_ms: u64,
}

/// Constant latency as between regions, without late packets.
pub const STEADY: NetworkConditions = NetworkConditions {
    latency: LatencyRange {
        min_ms: 60,
        max_ms: 60,
    },
    bytes_per_ms: 0,
    delayed_delivery_ms: 0,
};
/// Varying latency. Packets of reset connections arrive late, between packets of newer connections.
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
    /// Arrival time of the last packet that was sent, in milliseconds.
    last_arrival_ms: u64,
    /// When the link will have transmitted all bytes sent so far, in milliseconds.
    idle_at_ms: u64,
    /// Packets that a partition holds back, the oldest first.
    buffered: Vec<PacketId>,
    /// When the oldest unacknowledged packet was buffered, in milliseconds.
    buffered_since_ms: Option<u64>,
    /// Earliest time to establish the connection again, in milliseconds.
    retry_at_ms: u64,
}

/// A packet to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Transmission {
    /// Link over which the packet is sent.
    pub link: Link,
    /// Number of the packet.
    pub packet: PacketId,
    /// Size of the packet in bytes; only used if the bandwidth is limited.
    pub bytes: u64,
    /// Latency of the packet, in milliseconds.
    pub latency_ms: u64,
}

/// The simulated network with all connections and partitions.
#[derive(Clone, Debug)]
pub struct Network {
    /// Latency, bandwidth and late delivery; may be changed during a simulation.
    pub conditions: NetworkConditions,
    connections: BTreeMap<Link, Connection>,
    /// Links that partitions block.
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

    /// Blocks all packets from one node to another, until [`Self::heal`].
    pub fn partition_direction(&mut self, from: NodeIndex, to: NodeIndex) {
        self.partitioned.insert(Link { from, to });
    }

    /// Partitions two nodes in both directions.
    pub fn partition(&mut self, node: NodeIndex, other: NodeIndex) {
        self.partition_direction(node, other);
        self.partition_direction(other, node);
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitioned.clear();
    }

    /// Whether no partition blocks a link.
    pub fn is_reachable(&self, link: Link) -> bool {
        !self.partitioned.contains(&link)
    }

    /// Whether the connection over a link is established.
    pub fn is_up(&self, link: Link) -> bool {
        self.connections
            .get(&link)
            .is_some_and(|connection| connection.is_up)
    }

    /// Sends a packet. Returns its arrival time in milliseconds, or `None` if a partition holds it
    /// back or the connection is not established.
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

    /// Establishes a connection, unless it is established already, a partition blocks one of the
    /// directions, or the reconnect delay has not passed. Returns whether it was established now.
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

    /// Resets a connection. Returns the packets that a partition held back on it.
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

    /// Links whose connections have reached [`USER_TIMEOUT_MS`].
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

    /// Removes and returns the packets whose partitions have ended, by link and in the order of
    /// sending.
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
