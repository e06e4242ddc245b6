//! The mutable state of a simulated upstream.

use super::listing::{IN_SERVICE, Listing};
use std::collections::HashMap;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use woadstall_emulator::Upstream as UpstreamModel;

/// Request counts of an upstream since the start of the run.
#[derive(Clone, Debug, Default)]
pub struct UpstreamCounts {
    /// Name of the upstream.
    pub name: String,
    /// Number of requests received.
    pub received: u64,
    /// Number of requests with a call id whose work was completed.
    pub executed: u64,
    /// Number of requests rejected because the queue was full.
    pub rejected: u64,
}

/// The mutable state of an upstream.
pub struct State {
    /// The emulator's model, which decides the outcome of each request.
    pub model: UpstreamModel,
    /// The queued requests by number, each with the channel that reports the assignment of a worker.
    pub queued: HashMap<u64, oneshot::Sender<()>>,
    /// Number of the next request.
    pub next_request: u64,
    /// Start time of the process as Unix time in milliseconds; 0 for a process that is already warm.
    pub boot_ms: u64,
    /// The state that discovery publishes, by its name in the endpoint list.
    pub listed: &'static str,
    /// The time since which all balancers know that the upstream is draining.
    pub drained_since: Option<Instant>,
    /// Number of requests received since the last sample.
    pub attempts: u32,
    /// Request counts since the start of the run.
    pub counts: UpstreamCounts,
}

impl State {
    /// Creates the state of an upstream at the start of the run. The process of a `cold` upstream still has to warm up.
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

    /// Records the current time as the start of a new process.
    pub fn record_boot(&mut self) {
        self.boot_ms = unix_ms();
    }

    /// Returns the upstream's entry in the endpoint list.
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
