//! Entries of the endpoint list that discovery publishes.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// State of an upstream that accepts calls, as named in the endpoint list.
pub const IN_SERVICE: &str = "in_service";
/// State of a draining upstream, as named in the endpoint list.
pub const TERMINATING: &str = "terminating";
/// State of a terminated upstream, as named in the endpoint list.
pub const GONE: &str = "gone";

/// The data that discovery publishes about an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Name of the upstream.
    pub name: String,
    /// Index of the upstream's zone.
    pub zone: u8,
    /// Index of the upstream's cell.
    pub cell: u16,
    /// State of the upstream, as named in the endpoint list.
    pub state: &'static str,
    /// Start time of the process as Unix time in milliseconds; 0 for a process that is already warm.
    pub boot_ms: u64,
}

impl Listing {
    /// Returns the listing adjusted for a reader whose clock is ahead by `ahead_ms` milliseconds. The start time moves
    /// back, so that the process appears older to the reader.
    pub fn for_clock(&self, ahead_ms: i64) -> Self {
        let boot_ms = match self.boot_ms {
            0 => 0,
            boot_ms => boot_ms.saturating_add_signed(-ahead_ms),
        };
        Self {
            boot_ms,
            ..self.clone()
        }
    }

    /// Returns the JSON entry of the endpoint list, with `address` as the endpoint.
    pub fn entry(&self, zones: &[String], address: SocketAddr) -> Value {
        json!({
            "uid": self.name,
            "endpoint": address.to_string(),
            "az": zones[usize::from(self.zone)],
            "model": "m",
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        })
    }
}
