//! The servers of a zone, or all of them, and what is known of them together.

use super::{DecayingSum, FailureRate, LatencyEstimate, PoolIndex, Server};
use super::{ServerIndex, TrafficShare};
use crate::api::{Duration, Time};
use crate::tuning::BaselineGain;

/// Servers that one round robin goes through.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Servers that take new work, in the order of the round robin.
    pub members: Vec<ServerIndex>,
    /// Position of the member that was picked last.
    pub cursor: usize,
    /// Sum of the sizes of the members.
    pub size: f64,
    /// Members whose circuit breaker has tripped.
    pub tripped: usize,
    pub in_flight: u32,
    pub failure_rate: FailureRate,
    /// Highest turn weight of the members that were considered lately.
    pub best_weight: f64,
    responses: DecayingSum,
    /// Responses per second that each unit of size is known to give on average.
    pub proven_rate: f64,
    proven_span: Duration,
    /// Until then some members are in slow start.
    pub slow_start_until: Time,
    /// Part of the size that is warm.
    pub warm_size: f64,
    /// When that was counted last.
    pub warm_size_at: Time,
    /// By how much more than their share its members in slow start are sent.
    pub slow_start_pace: f64,
    slow_start_pace_at: Time,
    /// Latency of its calls, as a part of their target.
    pub relative_latency: LatencyEstimate,
    relative_latency_at: Time,
    /// What the fleet's health evidence leaves the zone ...
    pub traffic_share: TrafficShare,
    /// ... and classes at it, by position.
    pub class_traffic_shares: Vec<TrafficShare>,
}

impl Pool {
    /// Records a response, and averages the proven rate over `span`.
    ///
    /// Without responses the proven rate stays as it is, also while members are in slow start and
    /// held back: an outage disproves nothing.
    pub fn record_response(&mut self, now: Time, window: Duration, span: Duration) {
        let passed = now.saturating_sub(self.responses.updated_at).min(window);
        self.responses.add(now, 1.0, window);
        let rate = self.responses.sum * 1e9 / window as f64 / self.size.max(f64::MIN_POSITIVE);
        let in_slow_start = now < self.slow_start_until.saturating_add(window);
        if in_slow_start && rate < self.proven_rate {
            return;
        }
        self.proven_span = (self.proven_span + passed).min(span);
        let weight = passed as f64 / self.proven_span.max(1) as f64;
        self.proven_rate += weight * (rate - self.proven_rate);
    }

    /// Records the latency of a call, as a part of its target.
    pub fn record_relative_latency(
        &mut self,
        latency: f64,
        now: Time,
        gain: f64,
        baseline_gain: BaselineGain,
    ) {
        self.relative_latency.record(latency, gain, baseline_gain);
        self.relative_latency_at = now;
    }

    /// Latency that a call can expect, as a part of its target; it decays towards `baseline`.
    pub fn expected_relative_latency(&self, baseline: f64, now: Time, decay: Duration) -> f64 {
        let age = now.saturating_sub(self.relative_latency_at) as f64 / decay as f64;
        baseline + (self.relative_latency.mean - baseline) * (-age).exp()
    }

    /// The share of its usual traffic that a class may send to the zone.
    pub fn traffic_share_of(&self, class: usize, now: Time) -> f64 {
        let of_class = self
            .class_traffic_shares
            .get(class)
            .map_or(1.0, |share| share.get(now));
        self.traffic_share.get(now).min(of_class)
    }

    /// Time since the slow-start pace was adjusted last, at most `limit`.
    pub fn take_pace_interval(&mut self, now: Time, limit: Duration) -> Duration {
        let passed = now.saturating_sub(self.slow_start_pace_at).min(limit);
        self.slow_start_pace_at = now;
        passed
    }

    /// Members whose circuit breaker is closed.
    pub fn healthy(&self) -> usize {
        self.members.len().saturating_sub(self.tripped)
    }

    /// Calls in flight per unit of size.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight) / self.size.max(f64::MIN_POSITIVE)
    }

    /// Removes all members; what is known of the zone stays.
    pub fn clear(&mut self) {
        self.members.clear();
        self.size = 0.0;
        self.tripped = 0;
        self.in_flight = 0;
        self.slow_start_until = 0;
        self.warm_size_at = 0;
    }

    /// Adds a ready server whose slow start takes `window`.
    pub fn add(&mut self, index: ServerIndex, server: &Server, window: Duration) {
        let warm_at = server
            .started_at
            .map_or(0, |started| started.saturating_add(window));
        self.slow_start_until = self.slow_start_until.max(warm_at);
        self.members.push(index);
        self.size += server.size;
        self.tripped += usize::from(server.breaker.tripped);
        self.in_flight += server.in_flight;
    }
}

/// The pools that a server of a zone is a member of: that of the zone and that of all servers.
pub(crate) fn pools_of(pools: &mut [Pool], zone: PoolIndex) -> impl Iterator<Item = &mut Pool> {
    let all = pools.len() - 1;
    let both = pools
        .iter_mut()
        .enumerate()
        .filter(move |(at, _)| *at == zone || *at == all);
    both.map(|(_, pool)| pool)
}
