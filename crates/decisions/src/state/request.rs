//! What is known of a request under way.

use super::ServerIndex;
use crate::api::Time;

/// Where an attempt was sent, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    pub server: ServerIndex,
    pub at: Time,
}

/// How far the attempt in flight is behind the usual latency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum AttemptDelay {
    #[default]
    OnTime,
    /// Found late: it counts against its server's latency.
    Late,
    /// It has counted as a failure of its server, or cannot any more.
    Counted,
}

/// A request that has no response yet, or has an attempt in flight.
#[derive(Debug, Default)]
pub(crate) struct PendingRequest {
    /// Position of its class.
    pub class: usize,
    /// One over its latency target, per nanosecond.
    pub target_inverse: f64,
    pub deadline: Time,
    /// Attempts sent so far.
    pub attempts: u32,
    pub max_attempts: u32,
    /// The last attempt.
    pub sent: Option<SentAttempt>,
    pub delay: AttemptDelay,
    /// Calls in flight at the server of the attempt, this one included, if it was probed; else 0.
    pub probed_in_flight: f64,
    /// The attempt in flight is a trial call of a circuit breaker.
    pub is_breaker_trial: bool,
    /// How long the connection of the attempt had been idle, as a step of [`super::IdleRisk`].
    pub idle_step: usize,
    /// The first attempt that may have run.
    pub may_have_run: Option<SentAttempt>,
    /// Its client has a response or has disconnected.
    pub closed: bool,
    /// Its response has begun.
    pub response_started: bool,
}

/// A server that a probed request may go to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub server: ServerIndex,
    /// Calls in flight there, once it has reported.
    pub in_flight: Option<f64>,
}

/// A request that waits for the load reports of the servers that it may go to.
#[derive(Debug)]
pub(crate) struct LoadComparison {
    pub request: PendingRequest,
    /// In the order of the round robin.
    pub candidates: Vec<Candidate>,
}

/// Whether an attempt comes into flight or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InFlight {
    Begins,
    Ends,
}

/// Whether any server has worked on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkedOn {
    Yes,
    No,
}
