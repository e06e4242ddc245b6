//! Entries of the server list that discovery sends.

use super::{ServerId, Time, ZoneId};

/// Lifecycle state of a server, as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The server accepts new calls.
    Ready,
    /// The server finishes its calls in flight and must not be sent new ones.
    Draining,
    /// The server is no longer listed.
    Removed,
}

/// A server as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Identifier of the server.
    pub server: ServerId,
    /// Zone in which the server runs.
    pub zone: ZoneId,
    /// Cell of the server; the servers of a cell share their idempotency keys.
    pub cell: u16,
    /// Whether the server accepts new calls.
    pub lifecycle: Lifecycle,
    /// Capacity, relative to other servers. Values that are not finite and positive count as 1.
    pub size: f32,
    /// Start time of the server's current process; `None` if long past.
    pub started: Option<Time>,
}
