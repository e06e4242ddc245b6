//! Tiers: upstreams, the balancers before them, and the front before all.

use crate::units::{MS, SECOND, Span};
use serde::{Deserialize, Serialize};

/// A tier: upstreams, and the balancers before them.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// How many balancers send to it; they stand in the zones in turn. With `sidecar`, there is none to say.
    #[serde(default)]
    pub balancers: u32,
    /// Each upstream of the tier before has a balancer of its own for its calls, which dies and starts with it.
    #[serde(default)]
    #[serde(rename = "beside")]
    pub sidecar: bool,
    /// How many upstreams it has; they stand in the zones in turn.
    #[serde(rename = "nodos")]
    pub upstreams: u32,
    /// Requests that an upstream works on at a time.
    #[serde(default = "four")]
    pub workers: u32,
    /// Requests that may wait at an upstream.
    #[serde(default = "sixty_four")]
    #[serde(rename = "queue")]
    pub queue_capacity: u32,
    /// Which of them is next.
    #[serde(default)]
    #[serde(rename = "order")]
    pub queue_order: QueueOrder,
    /// Cells, in which the upstreams stand in turn.
    #[serde(default = "one_cell")]
    pub cells: u16,
    /// Part of its capacity that an upstream starts with.
    #[serde(default = "third")]
    pub start_capacity: f64,
    /// An upstream is warm after this time.
    #[serde(default = "slow_start_window")]
    #[serde(rename = "ramp")]
    pub slow_start_window: Span,
    /// A cold upstream falls over where it is sent more than this multiple of what it can do for 3 s.
    #[serde(default = "overload_multiple")]
    #[serde(rename = "tip-multiple")]
    pub overload_multiple: f64,
    /// All upstreams start cold.
    #[serde(default)]
    pub cold: bool,
    /// Its upstreams call another tier.
    #[serde(default)]
    pub calls: Option<DownstreamCalls>,
    /// What connections cost its upstreams.
    #[serde(default)]
    pub connections: Connections,
    /// Its upstreams tell how many requests they hold when they are probed.
    #[serde(default)]
    pub probed: Option<ProbeConfig>,
}

/// What connections cost an upstream.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Connections {
    /// Work on a new one, which the first request on it waits for.
    #[serde(rename = "work")]
    pub handshake_work: Span,
    /// Round trips until it is up.
    #[serde(rename = "trips")]
    pub handshake_round_trips: u32,
    /// So many are accepted; 0 for as many as come.
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

/// What probes cost.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ProbeConfig {
    /// The price that balancers are told, as part of a request's value.
    #[serde(rename = "price")]
    pub cost: f64,
    /// One that is not answered has failed after this time.
    #[serde(rename = "patience")]
    pub timeout: Span,
}

/// How callers' connections are dealt out.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct FrontConfig {
    /// It goes on dealing to a dead balancer for this time.
    #[serde(rename = "notices")]
    pub detection_delay: Span,
    /// Some balancers get up to so many times as many connections as others.
    #[serde(rename = "uneven")]
    pub max_weight_ratio: f64,
    /// Callers close connections that have idled for this time.
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

/// Which request in a queue is next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueOrder {
    /// The oldest.
    #[default]
    Fifo,
    /// The youngest.
    Lifo,
}

/// Calls of an upstream to the next tier, for each request that it works on.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DownstreamCalls {
    /// The tier.
    pub tier: String,
    /// How many on average, all at once; up to two more or less.
    pub mean: f64,
}
