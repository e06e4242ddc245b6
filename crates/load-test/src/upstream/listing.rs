//! How discovery lists an upstream.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// Discovery's name of the state of an upstream that takes calls.
pub const IN_SERVICE: &str = "in_service";
/// Discovery's name of the state of an upstream that drains.
pub const TERMINATING: &str = "terminating";
/// Discovery's name of the state of an upstream that has ended.
pub const GONE: &str = "gone";

/// How discovery lists an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: u8,
    /// Its cell.
    pub cell: u16,
    /// Its state, by discovery's name.
    pub state: &'static str,
    /// When its process started, Unix time in milliseconds; 0 for long ago.
    pub boot_ms: u64,
}

impl Listing {
    /// The same for a reader whose clock is ahead by so many milliseconds: the start seems longer ago.
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

    /// The entry for a balancer that finds the upstream at an address.
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
