//! The endpoint list in the JSON format of the platform's discovery, which defines the key names.

use serde::Deserialize;
use woadstall_engine::Lifecycle;
use woadstall_engine::UpstreamEntry;
use woadstall_settings::Names;

/// A complete or incremental list of endpoints.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    /// Version of the list, incremented by each change.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether the list is complete. Endpoints missing from a complete list have been removed.
    #[serde(rename = "all", default)]
    pub is_complete: bool,
    /// All endpoints of a complete list, or the changed endpoints of an incremental list.
    #[serde(rename = "targets", default)]
    pub endpoints: Vec<Endpoint>,
}

/// An entry of the list: one process of an upstream.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    /// Name of the upstream, stable across restarts.
    #[serde(rename = "uid")]
    pub name: String,
    /// IP address and port that the process listens on.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// Name of the endpoint's zone; empty by default.
    #[serde(rename = "az", default)]
    pub zone: String,
    /// Number of the cell whose members share the idempotency keys of processed requests; 0 by default.
    #[serde(rename = "pod_group", default)]
    pub cell: u16,
    /// Whether the endpoint accepts requests.
    pub state: EndpointState,
    /// Capacity relative to other endpoints; 1 by default.
    #[serde(rename = "capacity_hint", default = "default_capacity")]
    pub capacity: f32,
    /// Start time of the process, in Unix milliseconds; 0 by default, which stands for a process that started long ago.
    #[serde(rename = "boot_ms", default)]
    pub started_ms: u64,
}

/// State of an endpoint. Unknown states count as [`EndpointState::Terminating`], so that the endpoint receives no new
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The endpoint accepts requests.
    InService,
    /// The endpoint has been removed.
    Terminated,
    /// The endpoint is draining: it completes requests in flight and accepts no new ones.
    #[serde(other)]
    Terminating,
}

impl From<EndpointState> for Lifecycle {
    fn from(state: EndpointState) -> Self {
        match state {
            EndpointState::InService => Self::Ready,
            EndpointState::Terminating => Self::Draining,
            EndpointState::Terminated => Self::Removed,
        }
    }
}

impl EndpointList {
    /// Converts the endpoints to the engine's form, which identifies a zone by its position in the settings.
    pub fn entries(&self, names: &Names) -> Vec<UpstreamEntry> {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.entry(names))
            .collect()
    }
}

impl Endpoint {
    fn entry(&self, names: &Names) -> UpstreamEntry {
        UpstreamEntry {
            name: self.name.clone(),
            address: self.address.parse().ok(),
            zone: names.zone(&self.zone),
            cell: self.cell,
            lifecycle: self.state.into(),
            size: self.capacity,
            boot_ms: self.started_ms,
        }
    }
}

fn default_capacity() -> f32 {
    1.0
}
