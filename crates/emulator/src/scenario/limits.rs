//! What balancers may do, the network, the registry and the clocks.

use crate::units::{MS, SECOND, Span};
use serde::{Deserialize, Serialize};

/// What balancers may do.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Limits {
    /// Attempts for one request.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    /// The longest advice that callers follow.
    #[serde(rename = "most-advice")]
    pub max_retry_after: Span,
    /// Idle connections are closed after this time.
    #[serde(rename = "idle")]
    pub idle_timeout: Span,
    /// How long a connection may take to come up.
    #[serde(rename = "connect")]
    pub connect_timeout: Span,
    /// Connections to upstreams that a balancer may have open, over HTTP/1.1; 0 for as many as it likes.
    #[serde(rename = "sockets")]
    pub max_connections: u32,
    /// Upstreams speak HTTP/2: many attempts on one connection.
    pub http2: bool,
    /// What a crossing of zones costs, as part of a request's value.
    #[serde(rename = "cross-price")]
    pub cross_zone_cost: f64,
    /// Part of its value that a request beyond its tenant's quota keeps.
    #[serde(rename = "over-quota-worth")]
    pub over_quota_value: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_attempts: 6,
            cancellation: true,
            max_retry_after: Span(SECOND),
            idle_timeout: Span(10 * SECOND),
            connect_timeout: Span(250 * MS),
            max_connections: 0,
            http2: false,
            cross_zone_cost: 0.02,
            over_quota_value: 0.2,
        }
    }
}

/// The network. Between callers and their balancer there is none: it stands beside them.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Network {
    /// One way within a zone.
    #[serde(rename = "within")]
    pub within_zone: Span,
    /// One way between zones.
    #[serde(rename = "across")]
    pub between_zones: Span,
    /// Up to this part more, evenly.
    pub jitter: f64,
    /// Part of the messages, either way, that is lost without notice.
    pub loss: f64,
    /// Part of the requests whose connection breaks on their way.
    pub resets: f64,
    /// Bytes a second of one connection; 0 if bodies take no time.
    pub bytes_per_second: f64,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            within_zone: Span(250_000),
            between_zones: Span(MS),
            jitter: 0.5,
            loss: 0.0,
            resets: 0.0,
            bytes_per_second: 0.0,
        }
    }
}

/// How the list of upstreams reaches the balancers: pushed, in order, to each after a time of its own, where need be
/// once it has asked.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct RegistryConfig {
    /// After this time at the earliest ...
    pub delay: Span,
    /// ... and up to this much later.
    pub jitter: Span,
    /// An upstream that dies is taken off after this time.
    #[serde(rename = "notices")]
    pub detection_delay: Span,
    /// It has to be asked, and then tells of changes until the balancer's process ends.
    #[serde(rename = "asked")]
    pub queries: Option<RegistryQueries>,
}

/// What a registry that has to be asked can do.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RegistryQueries {
    /// Reads a second, of all balancers together; they wait in turn.
    #[serde(rename = "reads")]
    pub reads_per_second: f64,
    /// A read that would wait for longer fails.
    #[serde(rename = "patience")]
    pub timeout: Span,
    /// How long ago a balancer counts as told of what it has not asked for.
    pub within: Span,
}

impl Default for RegistryConfig {
    fn default() -> Self {
        Self {
            delay: Span(50 * MS),
            jitter: Span(200 * MS),
            detection_delay: Span(2 * SECOND),
            queries: None,
        }
    }
}

/// The balancers' clocks, which the registry's start times are compared with.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Clocks {
    /// Each is up to this much fast or slow.
    #[serde(rename = "offset")]
    pub max_offset: Span,
    /// Each goes up to this part faster or slower.
    #[serde(rename = "drift")]
    pub max_drift: f64,
}
