//! Learned state that a balancer hands over to the process that replaces it.

use super::{Duration, ServerId, Time};

/// A learned latency estimate, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedLatency {
    /// Exponentially weighted mean.
    pub mean: f64,
    /// Exponentially weighted mean deviation.
    pub mean_deviation: f64,
    /// Mean latency without load.
    pub baseline: f64,
    /// Number of calls in the estimate; 0 if nothing is known.
    pub calls: u32,
}

/// Learned state of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedServer {
    /// The server.
    pub server: ServerId,
    /// Start time of the server's process. The state does not apply to any other process.
    pub started: Option<Time>,
    /// Latency of the server's calls, as a multiple of the mean of their class.
    pub slowness: f64,
    /// Number of times that the circuit breaker has opened since the last long run of successes.
    pub recent_opens: u32,
    /// Remaining time that the circuit breaker stays open; `None` if it is closed.
    pub open_for: Option<Duration>,
}

/// Learned state of a balancer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Position and latency of each class.
    pub classes: Vec<(usize, LearnedLatency)>,
    /// Latency of all calls.
    pub overall: LearnedLatency,
    /// Rate of successful responses over all servers.
    pub responses_per_second: f64,
    /// Responses in the response window.
    pub responses: f64,
    /// Time integral of the requests pending in the response window, where each request counts as
    /// the inverse of its latency target.
    pub pending: f64,
    /// Part of the attempts that fail, from 0 to 1.
    pub failure_rate: f64,
    /// State of the listed servers.
    pub servers: Vec<LearnedServer>,
}
