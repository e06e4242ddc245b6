//! The network between machines: one ordered connection in each direction of each pair.

use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds after which a sender gives a connection up on which nothing is acknowledged.
pub const UNACKNOWLEDGED: u64 = 2_000;
/// Milliseconds before a connection that was lost is tried again.
pub const RECONNECT: u64 = 250;

/// What the network does.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    /// Milliseconds that a packet takes, from and to.
    pub delay: (u64, u64),
    /// Bytes a millisecond of a connection; 0 where it is not narrow.
    pub bytes_per_ms: u64,
    /// Whether bytes that were given up by their sender may come all the same, up to so many milliseconds later.
    pub strays: u64,
}

/// As between regions.
pub const CALM: Weather = Weather {
    delay: (60, 60),
    bytes_per_ms: 0,
    strays: 0,
};
/// With old bytes that come late, over newer connections.
pub const ROUGH: Weather = Weather {
    delay: (5, 120),
    bytes_per_ms: 0,
    strays: 25_000,
};

/// The connection from one machine to another.
#[derive(Clone, Debug, Default)]
struct Connection {
    is_up: bool,
    /// When the last packet sent so far arrives.
    last_arrival: u64,
    /// When the link has passed all bytes on that were sent so far.
    free_at: u64,
    /// Packets that a cut holds up, and since when.
    held: Vec<usize>,
    held_since: Option<u64>,
    /// When it may be made anew.
    retry_at: u64,
}

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It arrives at this time.
    Arrives(u64),
    /// It is held up, or there is no connection.
    Nothing,
}

/// The connections, and what cuts them.
#[derive(Clone, Debug)]
pub struct Network {
    /// What it does.
    pub weather: Weather,
    connections: BTreeMap<(usize, usize), Connection>,
    /// Directions in which nothing passes.
    cuts: BTreeSet<(usize, usize)>,
}

impl Network {
    /// A network without connections.
    pub fn new(weather: Weather) -> Self {
        Self {
            weather,
            connections: BTreeMap::new(),
            cuts: BTreeSet::new(),
        }
    }

    /// Nothing passes from one machine to another any more.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Nothing passes between two machines any more.
    pub fn cut_both(&mut self, one: usize, other: usize) {
        self.cut(one, other);
        self.cut(other, one);
    }

    /// All passes again.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Whether bytes pass in this direction.
    pub fn passes(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Whether a connection is up.
    pub fn is_up(&self, from: usize, to: usize) -> bool {
        self.connections
            .get(&(from, to))
            .is_some_and(|connection| connection.is_up)
    }

    /// Sends a packet of so many bytes.
    pub fn send(
        &mut self,
        now: u64,
        from: usize,
        to: usize,
        packet: usize,
        bytes: u64,
        delay: u64,
    ) -> Fate {
        let passes = self.passes(from, to);
        let bytes_per_ms = self.weather.bytes_per_ms;
        let Some(connection) = self
            .connections
            .get_mut(&(from, to))
            .filter(|connection| connection.is_up)
        else {
            return Fate::Nothing;
        };
        if !passes || !connection.held.is_empty() {
            connection.held.push(packet);
            connection.held_since.get_or_insert(now);
            return Fate::Nothing;
        }
        let sending = bytes.checked_div(bytes_per_ms).unwrap_or_default();
        connection.free_at = connection.free_at.max(now) + sending;
        connection.last_arrival = connection.last_arrival.max(connection.free_at + delay);
        Fate::Arrives(connection.last_arrival)
    }

    /// Makes a connection if that can be done now; whether it has come up.
    pub fn connect(&mut self, now: u64, from: usize, to: usize) -> bool {
        let reaches = self.passes(from, to) && self.passes(to, from);
        let connection = self.connections.entry((from, to)).or_default();
        if connection.is_up || !reaches || now < connection.retry_at {
            return false;
        }
        *connection = Connection {
            is_up: true,
            ..Connection::default()
        };
        true
    }

    /// Ends a connection. Gives the packets that it held.
    pub fn reset(&mut self, now: u64, from: usize, to: usize) -> Vec<usize> {
        let Some(connection) = self.connections.get_mut(&(from, to)) else {
            return Vec::new();
        };
        let held = std::mem::take(&mut connection.held);
        *connection = Connection {
            retry_at: now + RECONNECT,
            ..Connection::default()
        };
        held
    }

    /// The connections whose sender gives them up by now: what they hold was not acknowledged for long.
    pub fn overdue(&self, now: u64) -> Vec<(usize, usize)> {
        let is_overdue = |connection: &Connection| {
            connection
                .held_since
                .is_some_and(|since| now >= since + UNACKNOWLEDGED)
        };
        let overdue = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_up && is_overdue(connection));
        overdue.map(|(pair, _)| *pair).collect()
    }

    /// The packets that come now since nothing holds them up any more, in order.
    pub fn released(&mut self) -> Vec<(usize, usize, Vec<usize>)> {
        let cuts = &self.cuts;
        let free = self
            .connections
            .iter_mut()
            .filter(|(pair, connection)| !cuts.contains(pair) && !connection.held.is_empty());
        free.map(|((from, to), connection)| {
            connection.held_since = None;
            (*from, *to, std::mem::take(&mut connection.held))
        })
        .collect()
    }
}
