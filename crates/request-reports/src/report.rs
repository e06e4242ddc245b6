//! The content of a report on one request.

use crate::outcome::{AttemptOutcome, Cause};
use std::collections::BTreeMap;

/// A report by one balancer on a request that was late, rejected, failed or retried. The comment of
/// each field begins with the field's name in the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestReport {
    /// `cause`: the reason why the request is reported.
    pub cause: Cause,
    /// `route`: the name of the request's route.
    pub route: String,
    /// `service`: the name of the requested service.
    pub service: String,
    /// `zone`: the zone of the balancer.
    pub balancer_zone: String,
    /// `priority`: the priority of the request; 0 is the highest.
    pub priority: u8,
    /// `total`: the time from the arrival of the request to its end, in milliseconds.
    pub total_ms: u64,
    /// `first`: the time from the arrival of the request to the first data of the response, in
    /// milliseconds; `None` if no data arrived.
    pub first_data_ms: Option<u64>,
    /// `pause`: the longest gap between two pieces of data of the response, in milliseconds.
    pub longest_gap_ms: u64,
    /// `target`: the route's target latency, in milliseconds.
    pub target_latency_ms: u64,
    /// `prompt`: the number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// `shared`: the number of tokens of the prompt's shared prefix.
    pub shared_tokens: u64,
    /// `attempts`: the attempts of the request, in order; empty if none was made.
    pub attempts: Vec<AttemptReport>,
}

/// An attempt of a request at one upstream. The log line has the fields in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// The id of the upstream.
    pub upstream: String,
    /// The zone of the upstream.
    pub zone: String,
    /// The way in which the attempt ended.
    pub outcome: AttemptOutcome,
    /// The time from the arrival of the request to the start of the attempt, in milliseconds.
    pub start_offset_ms: u64,
    /// The time from the start of the attempt to its end, in milliseconds.
    pub duration_ms: u64,
    /// The number of this balancer's requests in flight at the upstream when the attempt started.
    pub in_flight: u32,
    /// The number of prompt tokens of this balancer's requests that the upstream had to prefill when
    /// the attempt started, including the tokens of this request.
    pub prefill_tokens: u64,
    /// The number of upstreams that the request could have been sent to.
    pub candidates: usize,
    /// The number of candidates that were excluded, by reason.
    pub excluded: BTreeMap<String, usize>,
}
