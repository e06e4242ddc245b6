//! State of pending requests and their attempts.

use super::ServerIndex;
use crate::api::Time;

/// An attempt that was sent to a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    pub server: ServerIndex,
    pub sent_at: Time,
}

/// How far the attempt in flight exceeds the usual latency of its class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum AttemptDelay {
    #[default]
    OnTime,
    /// Late: the delay has been recorded in the server's latency.
    Late,
    /// Settled: the attempt has counted as a failure of its server, or can no longer count because
    /// its response has begun.
    Settled,
}

/// A request that has no final response yet, or still has an attempt in flight.
#[derive(Debug, Default)]
pub(crate) struct PendingRequest {
    /// Position of the request's class.
    pub class: usize,
    /// Inverse of the latency target, per nanosecond; 0 once the request no longer counts as load.
    pub target_inverse: f64,
    pub deadline: Time,
    /// Attempts sent so far.
    pub attempts: u32,
    pub max_attempts: u32,
    pub last_attempt: Option<SentAttempt>,
    pub delay: AttemptDelay,
    /// Calls in flight at the probed server, this request included; 0 if the server was not probed.
    pub probed_in_flight: f64,
    /// Whether the attempt in flight is a trial call of a circuit breaker.
    pub is_breaker_trial: bool,
    /// Previous idle time of the attempt's connection, as a step of [`super::IdleRisk`].
    pub idle_step: usize,
    /// The first attempt that may have run.
    pub may_have_run: Option<SentAttempt>,
    /// Whether the client has a response or has disconnected.
    pub closed: bool,
    /// Whether a streamed response has begun.
    pub response_started: bool,
}

/// A server that was probed for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub server: ServerIndex,
    /// Calls in flight that the server has reported; `None` until it has.
    pub in_flight: Option<f64>,
}

/// A request that waits for the load reports of its candidate servers.
#[derive(Debug)]
pub(crate) struct LoadComparison {
    pub request: PendingRequest,
    /// Candidate servers, in round-robin order.
    pub candidates: Vec<Candidate>,
}

/// A change of the number of calls in flight: an attempt begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InFlightChange {
    Begins,
    Ends,
}

/// Whether any server may have worked on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkedOn {
    Yes,
    No,
}
