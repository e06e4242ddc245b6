//! The list of upstreams in discovery's JSON form.

use serde::Deserialize;
use woadstall_engine::Entry;
use woadstall_engine::Lifecycle;
use woadstall_settings::Names;

/// A list of upstreams, whole or what changed, in discovery's form.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listing {
    pub rev: u64,
    #[serde(default)]
    pub all: bool,
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// One upstream of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    pub uid: String,
    pub endpoint: String,
    #[serde(default)]
    pub az: String,
    #[serde(default)]
    pub pod_group: u16,
    pub state: State,
    #[serde(default = "one")]
    pub capacity_hint: f32,
    /// Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

/// State of an upstream; what is not known is not sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    InService,
    Terminated,
    #[serde(other)]
    Terminating,
}

impl Listing {
    /// The upstreams as the engine takes them, with the zones by their position in the settings.
    pub fn entries(&self, names: &Names) -> Vec<Entry> {
        let entry = |target: &Target| Entry {
            name: target.uid.clone(),
            address: target.endpoint.parse().ok(),
            zone: names.zone(&target.az),
            cell: target.pod_group,
            lifecycle: match target.state {
                State::InService => Lifecycle::Ready,
                State::Terminating => Lifecycle::Draining,
                State::Terminated => Lifecycle::Removed,
            },
            size: target.capacity_hint,
            boot_ms: target.boot_ms,
        };
        self.targets.iter().map(entry).collect()
    }
}

fn one() -> f32 {
    1.0
}
