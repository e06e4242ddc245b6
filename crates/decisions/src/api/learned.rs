//! What a balancer hands over to the process that takes over from it.

use super::{Duration, ServerId, Time};

/// A latency that was learned, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedLatency {
    /// Its mean.
    pub mean: f64,
    /// Its mean deviation.
    pub mean_deviation: f64,
    /// Its mean without load.
    pub baseline: f64,
    /// Calls that it rests on.
    pub calls: u32,
}

/// What was learned of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedServer {
    /// The server.
    pub server: ServerId,
    /// When its process started: nothing of this applies to another process.
    pub started: Option<Time>,
    /// Latency of its calls, as a multiple of the mean of their class.
    pub slowness: f64,
    /// How often its circuit breaker has opened without a long run of successes since.
    pub recent_opens: u32,
    /// How much longer its circuit breaker stays open, if it has tripped.
    pub open_for: Option<Duration>,
}

/// What a balancer has learned that its successor should know.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Latencies of classes, by position.
    pub classes: Vec<(usize, LearnedLatency)>,
    /// The latency of all calls.
    pub overall: LearnedLatency,
    /// Responses per second.
    pub responses_per_second: f64,
    /// Responses counted in the response window.
    pub responses: f64,
    /// Requests pending in the same window, each as one over its latency target, summed over time.
    pub pending: f64,
    /// Part of the attempts that fail.
    pub failure_rate: f64,
    /// What is known of servers.
    pub servers: Vec<LearnedServer>,
}
