//! Observations of a load balancer's attempts and upstreams, from which the fleet's health is assessed.

use woadstall_engine::decisions::ZoneId;
use woadstall_engine::{AttemptInFlight, AttemptRecord, ListedUpstream, ServerId};

/// A listed upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// The upstream's id in this load balancer.
    pub server: ServerId,
    /// The upstream's name in discovery, stable across restarts.
    pub name: String,
    /// Start time of the upstream process, in Unix milliseconds.
    pub boot_ms: u64,
    /// The zone that the upstream belongs to.
    pub zone: ZoneId,
    /// Capacity relative to other upstreams; `None` if the upstream accepts no requests.
    pub size: Option<f32>,
}

impl From<ListedUpstream<'_>> for Upstream {
    fn from(listed: ListedUpstream<'_>) -> Self {
        Self {
            server: listed.server,
            name: listed.name.to_owned(),
            boot_ms: listed.boot_ms,
            zone: listed.zone,
            size: listed.size,
        }
    }
}

/// A load balancer's attempts and listed upstreams at one time.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Attempts completed since the previous observation.
    pub ended: Vec<AttemptRecord>,
    /// Attempts in flight at the time of the observation.
    pub in_flight: Vec<AttemptInFlight>,
    /// The list's change count and all listed upstreams; `None` if the count equals the caller's.
    pub listed: Option<(u64, Vec<Upstream>)>,
}
