//! The list of servers, as discovery sends it.

use super::{ServerId, Time, ZoneId};

/// Where a server stands in its lifecycle, as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Takes work.
    Ready,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// No longer listed.
    Removed,
}

/// One server as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// The cell in which idempotency keys are shared.
    pub cell: u16,
    /// Whether it takes work.
    pub lifecycle: Lifecycle,
    /// Its capacity, relative to that of others.
    pub size: f32,
    /// When its process started last; `None` if long past.
    pub started: Option<Time>,
}
