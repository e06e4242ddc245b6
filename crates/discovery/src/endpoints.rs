//! The list of endpoints in discovery's JSON form. Names of keys are the platform's.

use serde::Deserialize;
use woadstall_engine::Lifecycle;
use woadstall_engine::UpstreamEntry;
use woadstall_settings::Names;

/// A list of endpoints: all of them, or those that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    /// Version of the list, raised with each change.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether these are all endpoints: what is missing is gone.
    #[serde(rename = "all", default)]
    pub is_complete: bool,
    /// The endpoints.
    #[serde(rename = "targets", default)]
    pub endpoints: Vec<Endpoint>,
}

/// One endpoint of a list: a process of an upstream.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    /// Name of the upstream, which stays the same over its restarts.
    #[serde(rename = "uid")]
    pub name: String,
    /// Where it listens: an IP address with a port.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// Name of its zone.
    #[serde(rename = "az", default)]
    pub zone: String,
    /// The cell that it shares seen idempotency keys with.
    #[serde(rename = "pod_group", default)]
    pub cell: u16,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Its capacity relative to that of others; 1 by default.
    #[serde(rename = "capacity_hint", default = "default_capacity")]
    pub capacity: f32,
    /// When its process started, Unix time in milliseconds; 0 for long ago.
    #[serde(rename = "boot_ms", default)]
    pub started_ms: u64,
}

/// State of an endpoint. One that is not known counts as [`EndpointState::Terminating`], so that nothing new is sent there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// It takes requests.
    InService,
    /// It is gone.
    Terminated,
    /// It is draining: requests in flight end, and it takes no new ones.
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
    /// The endpoints as the engine takes them, with zones by their positions in the settings.
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
