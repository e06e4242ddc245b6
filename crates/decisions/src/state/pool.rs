//! Pools: the servers of a zone or all servers, with their joint state.

use super::{DecayingSum, FailureRate, LatencyEstimate, PoolIndex, Server};
use super::{ServerIndex, TrafficShare};
use crate::api::{Duration, Time};
use crate::tuning::BaselineGain;

/// A set of servers that share one round robin.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Servers that accept new calls, in round-robin order.
    pub members: Vec<ServerIndex>,
    /// Position of the last member that was picked.
    pub cursor: usize,
    /// Sum of the sizes of the members.
    pub size: f64,
    /// Members whose circuit breaker has tripped.
    pub tripped: usize,
    pub in_flight: u32,
    pub failure_rate: FailureRate,
    /// Highest turn weight among the members that were recently considered; it decays slowly.
    pub best_weight: f64,
    responses: DecayingSum,
    /// Average rate of responses that the pool has achieved, per second and unit of size.
    pub proven_rate: f64,
    /// Time that `proven_rate` is an average over so far.
    proven_span: Duration,
    /// Time at which the last member leaves slow start.
    pub slow_start_until: Time,
    /// Sum of the sizes of the members, each times its warmth.
    pub warm_size: f64,
    /// Time of the last update of `warm_size`.
    pub warm_size_at: Time,
    /// Calls to members in slow start, as a multiple of their share.
    pub slow_start_pace: f64,
    slow_start_pace_at: Time,
    /// Latency of the pool's calls, as a part of their latency targets.
    pub relative_latency: LatencyEstimate,
    relative_latency_at: Time,
    /// Share of its usual traffic that the fleet's health evidence leaves the zone.
    pub traffic_share: TrafficShare,
    /// Share of its usual traffic that the fleet's health evidence leaves each class at the zone,
    /// by position of the class. Empty if there is no evidence on classes.
    pub class_traffic_shares: Vec<TrafficShare>,
}

impl Pool {
    /// Records a response, and updates the proven rate as an average over `span`.
    ///
    /// The proven rate does not fall without responses, or while members are held back by slow
    /// start: an outage does not show that the pool can handle less.
    pub fn record_response(&mut self, now: Time, window: Duration, span: Duration) {
        let elapsed = now.saturating_sub(self.responses.updated_at).min(window);
        self.responses.add(now, 1.0, window);
        let rate = self.responses.sum * 1e9 / window as f64 / self.size.max(f64::MIN_POSITIVE);
        let in_slow_start = now < self.slow_start_until.saturating_add(window);
        if in_slow_start && rate < self.proven_rate {
            return;
        }
        self.proven_span = (self.proven_span + elapsed).min(span);
        let weight = elapsed as f64 / self.proven_span.max(1) as f64;
        self.proven_rate += weight * (rate - self.proven_rate);
    }

    /// Records the latency of a call, as a part of its latency target.
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

    /// Expected latency of a call, as a part of its latency target. It decays towards `baseline`.
    pub fn expected_relative_latency(&self, baseline: f64, now: Time, decay: Duration) -> f64 {
        let age = now.saturating_sub(self.relative_latency_at) as f64 / decay as f64;
        baseline + (self.relative_latency.mean - baseline) * (-age).exp()
    }

    /// Share of its usual traffic that a class may send to the zone, from 0 to 1.
    pub fn traffic_share_of(&self, class: usize, now: Time) -> f64 {
        let class_share = self
            .class_traffic_shares
            .get(class)
            .map_or(1.0, |share| share.get(now));
        self.traffic_share.get(now).min(class_share)
    }

    /// Returns the time since the last adjustment of the slow-start pace, at most `limit`, and
    /// restarts it at `now`.
    pub fn take_pace_interval(&mut self, now: Time, limit: Duration) -> Duration {
        let elapsed = now.saturating_sub(self.slow_start_pace_at).min(limit);
        self.slow_start_pace_at = now;
        elapsed
    }

    /// Number of members whose circuit breaker is closed.
    pub fn healthy(&self) -> usize {
        self.members.len().saturating_sub(self.tripped)
    }

    /// Calls in flight per unit of size.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight) / self.size.max(f64::MIN_POSITIVE)
    }

    /// Removes all members. Measured rates, latencies and traffic shares of the zone are kept.
    pub fn clear(&mut self) {
        self.members.clear();
        self.size = 0.0;
        self.tripped = 0;
        self.in_flight = 0;
        self.slow_start_until = 0;
        self.warm_size_at = 0;
    }

    /// Adds a ready server. `window` is the length of slow start.
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

/// The pools to which a server of a zone belongs: the pool of the zone and the pool of all servers.
pub(crate) fn pools_of(pools: &mut [Pool], zone: PoolIndex) -> impl Iterator<Item = &mut Pool> {
    let all_servers = pools.len() - 1;
    let zone_and_all = pools
        .iter_mut()
        .enumerate()
        .filter(move |(pool, _)| *pool == zone || *pool == all_servers);
    zone_and_all.map(|(_, pool)| pool)
}
