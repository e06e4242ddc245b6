//! What is known of one upstream server.

use super::FailureRate;
use crate::api::{Duration, LearnedServer, ServerId, Time};

/// Position of a server in the balancer's table.
pub(crate) type ServerIndex = usize;
/// Position of a pool: that of its zone, or the number of zones for the pool of all servers.
pub(crate) type PoolIndex = usize;

/// What is known of a server.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub id: ServerId,
    pub zone: PoolIndex,
    pub cell: u16,
    pub ready: bool,
    /// No longer listed; forgotten once nothing refers to it.
    pub removed: bool,
    /// Capacity, relative to that of other servers.
    pub size: f64,
    /// When its process started; `None` if long past.
    pub started_at: Option<Time>,
    /// Sort key in the round robin.
    pub round_robin_key: u64,
    /// Part of a round-robin turn that it has saved up.
    pub turn_credit: f64,
    /// Part of a call that its slow start has saved up.
    pub slow_start_budget: f64,
    /// When that was counted last.
    pub slow_start_budget_at: Time,
    pub in_flight: u32,
    /// It rejects calls as overloaded, presumably until then.
    pub overloaded_until: Time,
    pub connection_limit: Option<ConnectionLimit>,
    /// Connections to it, busy or idle.
    pub open_connections: u32,
    /// Most calls in flight of late.
    pub peak_in_flight: f64,
    /// When that was counted last.
    pub peak_in_flight_at: Time,
    /// When an attempt ended last, and left its connection idle.
    pub idle_since: Time,
    pub last_response_at: Time,
    /// Latency of its calls, as a multiple of the mean of their class.
    pub slowness: f64,
    pub failure_rate: FailureRate,
    pub breaker: CircuitBreaker,
    /// What the fleet's health evidence leaves it.
    pub traffic_share: TrafficShare,
}

impl Server {
    /// Most calls in flight of late, as it has decayed by `now`.
    pub fn peak_in_flight(&self, now: Time, decay: Duration) -> f64 {
        let age = now.saturating_sub(self.peak_in_flight_at) as f64;
        self.peak_in_flight * (-age / decay as f64).exp()
    }

    /// Records the calls in flight.
    pub fn record_peak(&mut self, now: Time, decay: Duration) {
        let peak = self
            .peak_in_flight(now, decay)
            .max(f64::from(self.in_flight));
        self.peak_in_flight = peak;
        self.peak_in_flight_at = now;
    }

    /// The form in which it is handed to a successor.
    pub fn to_learned(&self, now: Time) -> LearnedServer {
        let breaker = &self.breaker;
        LearnedServer {
            server: self.id,
            started: self.started_at,
            slowness: self.slowness,
            recent_opens: breaker.recent_opens,
            open_for: breaker
                .tripped
                .then(|| breaker.open_until.saturating_sub(now)),
        }
    }
}

/// How many connections a server let us have when it last refused one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimit {
    pub connections: u32,
    pub observed_at: Time,
}

/// A circuit breaker: closed, open until a time, or half-open with one trial call.
#[derive(Debug, Default)]
pub(crate) struct CircuitBreaker {
    pub consecutive_failures: u32,
    pub consecutive_successes: u32,
    /// How often it has opened without a long run of successes since.
    pub recent_opens: u32,
    pub tripped: bool,
    pub open_until: Time,
    pub trial_in_flight: bool,
}

/// The share of its usual new traffic that the fleet's health evidence leaves a server, a zone or a
/// class at a zone, until it expires.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TrafficShare {
    /// From 0 to 1.
    pub share: f64,
    pub expires_at: Time,
}

impl TrafficShare {
    /// The share at `now`; all of the traffic once it has expired.
    pub fn get(&self, now: Time) -> f64 {
        if now < self.expires_at {
            self.share
        } else {
            1.0
        }
    }
}
