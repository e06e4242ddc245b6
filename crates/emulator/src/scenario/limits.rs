//! Limits of balancers, the network, the registry and the clocks.

use crate::units::{MS, SECOND, Span};
use serde::{Deserialize, Serialize};

/// Limits that apply to all balancers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of attempts for one request.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether balancers cancel attempts.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    /// Longest retry-after advice that callers follow.
    #[serde(rename = "most-advice")]
    pub max_retry_after: Span,
    /// Idle time after which a connection is closed.
    #[serde(rename = "idle")]
    pub idle_timeout: Span,
    /// Timeout for opening a connection.
    #[serde(rename = "connect")]
    pub connect_timeout: Span,
    /// Maximum number of connections from a balancer to upstreams over HTTP/1.1; 0 for no limit.
    #[serde(rename = "sockets")]
    pub max_connections: u32,
    /// Whether upstreams speak HTTP/2, with many attempts on one connection.
    pub http2: bool,
    /// Cost of an attempt that crosses zones, as a fraction of the request's value.
    #[serde(rename = "cross-price")]
    pub cross_zone_cost: f64,
    /// Fraction of its value that a request above its tenant's quota keeps.
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

/// Network between balancers and upstreams. Callers are next to their balancers and need no network.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Network {
    /// One-way delay within a zone.
    #[serde(rename = "within")]
    pub within_zone: Span,
    /// One-way delay between zones.
    #[serde(rename = "across")]
    pub between_zones: Span,
    /// Maximum relative increase of each delay, uniformly distributed.
    pub jitter: f64,
    /// Fraction of the messages in either direction that are lost without notice.
    pub loss: f64,
    /// Fraction of the requests whose connection is reset in transit.
    pub resets: f64,
    /// Transfer rate of one connection, in bytes per second; 0 if bodies take no time.
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

/// Registry that pushes the upstream list to the balancers, in order and to each with its own delay. It may
/// require a query before the first push.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct RegistryConfig {
    /// Minimum delay of an update.
    pub delay: Span,
    /// Maximum additional delay of an update, uniformly distributed.
    pub jitter: Span,
    /// Time until an upstream whose process died is removed from the list.
    #[serde(rename = "notices")]
    pub detection_delay: Span,
    /// If set, a balancer must query the list, and receives changes afterwards until its process ends.
    #[serde(rename = "asked")]
    pub queries: Option<RegistryQueries>,
}

/// Capacity of a registry that balancers query.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RegistryQueries {
    /// Reads per second for all balancers together; further reads are queued.
    #[serde(rename = "reads")]
    pub reads_per_second: f64,
    /// Longest wait of a read; a read that would take longer fails.
    #[serde(rename = "patience")]
    pub timeout: Span,
    /// Time after which a balancer without a subscription counts as notified of a listed change.
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

/// Balancers' clocks, which are compared with the start times in the upstream list.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Clocks {
    /// Maximum offset of a clock in either direction.
    #[serde(rename = "offset")]
    pub max_offset: Span,
    /// Maximum relative drift of a clock in either direction.
    #[serde(rename = "drift")]
    pub max_drift: f64,
}
