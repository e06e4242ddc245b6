//! State of an upstream server.

use super::FailureRate;
use crate::api::{Duration, LearnedServer, ServerId, Time};

/// Position of a server in the balancer's table.
pub(crate) type ServerIndex = usize;
/// Position of a pool: the position of its zone, or the number of zones for the pool of all
/// servers.
pub(crate) type PoolIndex = usize;

/// State of an upstream server: its listing, its connections and its measured health.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub id: ServerId,
    pub zone: PoolIndex,
    pub cell: u16,
    pub ready: bool,
    /// No longer listed; the entry is freed once no request refers to it.
    pub removed: bool,
    /// Capacity, relative to other servers.
    pub size: f64,
    /// Start time of the server's process; `None` if long past.
    pub started_at: Option<Time>,
    /// Sort key in the round robin.
    pub round_robin_key: u64,
    /// Accumulated part of a round-robin turn; a turn costs 1.
    pub turn_credit: f64,
    /// Accumulated part of a call that slow start allows; a call costs 1.
    pub slow_start_budget: f64,
    /// Time of the last update of `slow_start_budget`.
    pub slow_start_budget_at: Time,
    pub in_flight: u32,
    /// Time until which the server is expected to reject calls as overloaded.
    pub overloaded_until: Time,
    pub connection_limit: Option<ConnectionLimit>,
    /// Connections to the server, busy or idle.
    pub open_connections: u32,
    /// Recent maximum of the calls in flight, at `peak_in_flight_at`.
    pub peak_in_flight: f64,
    /// Time of the last update of `peak_in_flight`.
    pub peak_in_flight_at: Time,
    /// Time at which the last attempt ended and left its connection idle.
    pub idle_since: Time,
    pub last_response_at: Time,
    /// Latency of the server's calls, as a multiple of the mean of their class.
    pub slowness: f64,
    pub failure_rate: FailureRate,
    pub breaker: CircuitBreaker,
    /// Share of its usual traffic that the fleet's health evidence leaves the server.
    pub traffic_share: TrafficShare,
}

impl Server {
    /// Recent maximum of the calls in flight, decayed until `now`.
    pub fn peak_in_flight(&self, now: Time, decay: Duration) -> f64 {
        let age = now.saturating_sub(self.peak_in_flight_at) as f64;
        self.peak_in_flight * (-age / decay as f64).exp()
    }

    /// Raises the peak to the calls in flight if these exceed its decayed value.
    pub fn record_peak(&mut self, now: Time, decay: Duration) {
        let peak = self
            .peak_in_flight(now, decay)
            .max(f64::from(self.in_flight));
        self.peak_in_flight = peak;
        self.peak_in_flight_at = now;
    }

    /// Converts the measured state to the form in which it is handed over to a new process.
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

/// Number of connections that a server had accepted when it last refused one.
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
    /// Number of times that the breaker has opened since the last
    /// [`crate::tuning::BACKOFF_RESET_SUCCESSES`] successes in a row.
    pub recent_opens: u32,
    pub tripped: bool,
    pub open_until: Time,
    pub trial_in_flight: bool,
}

/// Share of the usual new traffic that the fleet's health evidence leaves a server, a zone or a
/// class at a zone. It expires unless it is renewed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TrafficShare {
    /// From 0 to 1.
    pub share: f64,
    pub expires_at: Time,
}

impl TrafficShare {
    /// The share at `now`; 1 after it has expired.
    pub fn get(&self, now: Time) -> f64 {
        if now < self.expires_at {
            self.share
        } else {
            1.0
        }
    }
}
