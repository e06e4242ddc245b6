//! FaultKind changes about an upstream while it runs.

use super::listing::{IN_SERVICE, Listing};
use std::collections::HashMap;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use woadstall_emulator::Upstream as UpstreamModel;

/// FaultKind an upstream has counted.
#[derive(Clone, Debug, Default)]
pub struct UpstreamCounts {
    /// Its name.
    pub name: String,
    /// Requests that it received.
    pub received: u64,
    /// Requests that it has worked on to their end.
    pub executed: u64,
    /// Requests that it has rejected since its queue was full.
    pub rejected: u64,
}

/// The state of an upstream.
pub struct State {
    /// FaultKind decides what happens to requests.
    pub model: UpstreamModel,
    /// The queued requests, each with the notification that a worker has it.
    pub queued: HashMap<u64, oneshot::Sender<()>>,
    /// The number of the next request.
    pub next_request: u64,
    /// When its process started, Unix time in milliseconds; 0 for long ago.
    pub boot_ms: u64,
    /// The state that it is listed in, by discovery's name.
    pub listed: &'static str,
    /// Since when all balancers are notified that it drains.
    pub drained_since: Option<Instant>,
    /// Requests that were received since the last sample.
    pub attempts: u32,
    /// FaultKind it has counted.
    pub counts: UpstreamCounts,
}

impl State {
    /// The state of an upstream that starts, with a process that still warms up if it is `cold`.
    pub fn new(model: UpstreamModel, cold: bool) -> Self {
        let counts = UpstreamCounts {
            name: model.name.clone(),
            ..UpstreamCounts::default()
        };
        Self {
            model,
            queued: HashMap::new(),
            next_request: 0,
            boot_ms: if cold { unix_ms() } else { 0 },
            listed: IN_SERVICE,
            drained_since: None,
            attempts: 0,
            counts,
        }
    }

    /// A new process has started now.
    pub fn record_boot(&mut self) {
        self.boot_ms = unix_ms();
    }

    /// How it is listed.
    pub fn listing(&self) -> Listing {
        Listing {
            name: self.model.name.clone(),
            zone: self.model.zone,
            cell: self.model.cell,
            state: self.listed,
            boot_ms: self.boot_ms,
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
