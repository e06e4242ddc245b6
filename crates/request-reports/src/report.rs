//! What a report says about one request.

use crate::outcome::{AttemptOutcome, Cause};
use std::collections::BTreeMap;

/// A request that did not go well, as one balancer saw it. The comments name the field of the log
/// line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestReport {
    /// `cause`: why it is reported.
    pub cause: Cause,
    /// `route`: its route.
    pub route: String,
    /// `service`: its service.
    pub service: String,
    /// `zone`: the balancer's zone.
    pub balancer_zone: String,
    /// `priority`: its priority; 0 is the highest.
    pub priority: u8,
    /// `total`: from its arrival to its end, in milliseconds.
    pub total_ms: u64,
    /// `first`: from its arrival to the first data of the response, in milliseconds; `None` if
    /// there was none.
    pub first_data_ms: Option<u64>,
    /// `pause`: the longest gap between data of the response, in milliseconds.
    pub longest_gap_ms: u64,
    /// `target`: the route's target latency, in milliseconds.
    pub target_latency_ms: u64,
    /// `prompt`: tokens of its prompt.
    pub prompt_tokens: u64,
    /// `shared`: tokens of the prompt's shared prefix.
    pub shared_tokens: u64,
    /// `attempts`: its attempts in order.
    pub attempts: Vec<AttemptReport>,
}

/// An attempt at one upstream. The log line has the fields in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// The upstream's id.
    pub upstream: String,
    /// The upstream's zone.
    pub zone: String,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// From the request's arrival to the beginning of the attempt, in milliseconds.
    pub start_offset_ms: u64,
    /// From the beginning of the attempt to its end, in milliseconds.
    pub duration_ms: u64,
    /// This balancer's requests in flight at the upstream when the attempt began.
    pub in_flight: u32,
    /// Prompt tokens of this balancer's requests that the upstream had to prefill then, this
    /// request's included.
    pub prefill_tokens: u64,
    /// Upstreams that the request could have been sent to.
    pub candidates: usize,
    /// How many of them were excluded, by reason.
    pub excluded: BTreeMap<String, usize>,
}
