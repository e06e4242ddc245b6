//! Tiers: upstreams, their balancers, and the front.

use crate::units::{MS, SECOND, Span};
use serde::{Deserialize, Serialize};

/// A tier of upstreams with the balancers that send to them.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Tier {
    /// Name of the tier.
    pub name: String,
    /// Number of balancers, assigned to zones round robin; must be left out with `sidecar`.
    #[serde(default)]
    pub balancers: u32,
    /// Each upstream that calls this tier has a sidecar balancer, which dies and starts with the upstream.
    #[serde(default)]
    #[serde(rename = "beside")]
    pub sidecar: bool,
    /// Number of upstreams, assigned to zones round robin.
    #[serde(rename = "nodos")]
    pub upstreams: u32,
    /// Requests that an upstream processes concurrently.
    #[serde(default = "four")]
    pub workers: u32,
    /// Requests that can wait at an upstream.
    #[serde(default = "sixty_four")]
    #[serde(rename = "queue")]
    pub queue_capacity: u32,
    /// Order in which waiting requests are served.
    #[serde(default)]
    #[serde(rename = "order")]
    pub queue_order: QueueOrder,
    /// Number of cells; upstreams are assigned to cells round robin.
    #[serde(default = "one_cell")]
    pub cells: u16,
    /// Fraction of its capacity that an upstream starts with.
    #[serde(default = "third")]
    pub start_capacity: f64,
    /// Time until an upstream that started cold is warm.
    #[serde(default = "slow_start_window")]
    #[serde(rename = "ramp")]
    pub slow_start_window: Span,
    /// A cold upstream crashes if its load over 3 s exceeds this multiple of its capacity.
    #[serde(default = "overload_multiple")]
    #[serde(rename = "tip-multiple")]
    pub overload_multiple: f64,
    /// All upstreams start cold.
    #[serde(default)]
    pub cold: bool,
    /// Calls of the tier's upstreams to another tier.
    #[serde(default)]
    pub calls: Option<DownstreamCalls>,
    /// Cost and limit of connections to the upstreams.
    #[serde(default)]
    pub connections: Connections,
    /// If set, upstreams report their number of requests to probes.
    #[serde(default)]
    pub probed: Option<ProbeConfig>,
}

/// Cost and limit of connections to an upstream.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Connections {
    /// Work of the upstream on a new connection, which delays the first request on it.
    #[serde(rename = "work")]
    pub handshake_work: Span,
    /// Round trips until a connection is open.
    #[serde(rename = "trips")]
    pub handshake_round_trips: u32,
    /// Maximum number of open connections; 0 for no limit.
    #[serde(rename = "most")]
    pub max_open: u32,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            handshake_work: Span(0),
            handshake_round_trips: 1,
            max_open: 0,
        }
    }
}

/// Cost of probes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ProbeConfig {
    /// Cost of a probe that balancers assume, as a fraction of a request's value.
    #[serde(rename = "price")]
    pub cost: f64,
    /// Timeout of a probe.
    #[serde(rename = "patience")]
    pub timeout: Span,
}

/// Distribution of callers' connections among balancers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct FrontConfig {
    /// Time until the front detects that a balancer has died.
    #[serde(rename = "notices")]
    pub detection_delay: Span,
    /// Ratio of the largest to the smallest number of connections that the weights give to balancers.
    #[serde(rename = "uneven")]
    pub max_weight_ratio: f64,
    /// Idle time after which callers close a connection.
    #[serde(rename = "kept")]
    pub idle_timeout: Span,
}

impl Default for FrontConfig {
    fn default() -> Self {
        Self {
            detection_delay: Span(3 * SECOND),
            max_weight_ratio: 1.0,
            idle_timeout: Span(15 * SECOND),
        }
    }
}

fn four() -> u32 {
    4
}

fn sixty_four() -> u32 {
    64
}

fn one_cell() -> u16 {
    1
}

fn third() -> f64 {
    0.3
}

fn slow_start_window() -> Span {
    Span(8_400 * MS)
}

fn overload_multiple() -> f64 {
    2.5
}

/// Order in which waiting requests are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueOrder {
    /// Oldest request first.
    #[default]
    Fifo,
    /// Newest request first.
    Lifo,
}

/// Calls of an upstream to the next tier, for each request that it processes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DownstreamCalls {
    /// Name of the called tier.
    pub tier: String,
    /// Mean number of concurrent calls; each request makes the next lower or next higher whole number.
    pub mean: f64,
}
