//! What others observe of a load balancer: the evidence of a fleet's health.

use woadstall_engine::decisions::ZoneId;
use woadstall_engine::{AttemptInFlight, AttemptRecord, ListedUpstream, ServerId};

/// An upstream that is listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its number.
    pub server: ServerId,
    /// Its name.
    pub name: String,
    /// When its process started, Unix time in milliseconds.
    pub boot_ms: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its capacity relative to that of others, if it takes requests.
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

/// What has happened since the last observation.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Attempts that have ended.
    pub ended: Vec<AttemptRecord>,
    /// Attempts that are in flight.
    pub in_flight: Vec<AttemptInFlight>,
    /// How often the list of upstreams had changed and all of it, where it has changed since.
    pub listed: Option<(u64, Vec<Upstream>)>,
}
