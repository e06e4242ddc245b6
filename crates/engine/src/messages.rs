//! Messages between a front and the engine.

use crate::upstreams::{Peer, UpstreamEntry};
use woadstall_decisions::api::{
    Duration, HealthVerdict, LoadReport, Outcome, RequestId, ServerId, Time,
};

/// A call that a front received from a caller.
#[derive(Debug)]
pub struct Call<R> {
    /// Id of the call. The id must not equal the id of any open call.
    pub id: RequestId,
    /// Data that the front needs to forward the call and to respond to it.
    pub request: R,
    /// Class of the call, as a position in the settings.
    pub class: usize,
    /// Tenant of the call, as a position in the settings.
    pub tenant: usize,
    /// Estimated processing time of the call in nanoseconds, if the caller has provided it.
    pub work: Option<Duration>,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Maximum number of attempts for the call; 1 if it cannot be sent again. The limit in the settings applies as
    /// well.
    pub max_attempts: u32,
}

/// A completed attempt, from which the health of the fleet is derived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRecord {
    /// Id of the call.
    pub id: RequestId,
    /// Number of the attempt within the call, from 0.
    pub attempt: u32,
    /// Time at which the attempt ended.
    pub ended_at: Time,
    /// Upstream that the attempt was sent to.
    pub server: ServerId,
    /// Class of the call, as a position in the settings.
    pub class: usize,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time from sending the attempt to its end, in nanoseconds.
    pub elapsed: Duration,
}

/// An attempt that is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptInFlight {
    /// Id of the call.
    pub id: RequestId,
    /// Number of the attempt within the call, from 0.
    pub attempt: u32,
    /// Upstream that the attempt was sent to.
    pub server: ServerId,
    /// Class of the call, as a position in the settings.
    pub class: usize,
    /// Time since the attempt was sent, in nanoseconds.
    pub age: Duration,
}

/// End of an attempt.
#[derive(Debug)]
pub struct AttemptEnd<A> {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Response of the upstream, if it is the final response of the call.
    pub response: Option<A>,
    /// Load report of the upstream, if the attempt returned one.
    pub load: Option<LoadReport>,
}

impl<A> AttemptEnd<A> {
    /// Converts the response with `into` and keeps the outcome and the load report.
    pub fn map<B>(self, into: impl FnOnce(A) -> B) -> AttemptEnd<B> {
        AttemptEnd {
            outcome: self.outcome,
            response: self.response.map(into),
            load: self.load,
        }
    }
}

impl<A> From<Outcome> for AttemptEnd<A> {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            response: None,
            load: None,
        }
    }
}

/// Event that a front passes to the engine.
#[derive(Debug)]
pub enum Input<'a, R, A> {
    /// Discovery sent a list of upstreams.
    EndpointsListed {
        /// Entries of the listed upstreams.
        entries: &'a [UpstreamEntry],
        /// Whether the list contains all upstreams, so that an upstream that is not listed has been removed. If
        /// `false`, the list contains only the upstreams that changed.
        is_complete: bool,
    },
    /// Discovery failed; the engine keeps its list of upstreams.
    DiscoveryFailed,
    /// A front has received a call completely.
    Call(Call<R>),
    /// The caller of this call has disconnected.
    CallerDisconnected(RequestId),
    /// The response to an attempt has started and the front has passed on its first part, so no other attempt may
    /// follow.
    ResponseStarted {
        /// Id of the call.
        id: RequestId,
        /// Number of the attempt within the call, from 0.
        attempt: u32,
        /// The started response.
        response: A,
    },
    /// An attempt ended. A front must report the end of each attempt exactly once.
    AttemptEnded {
        /// Id of the call.
        id: RequestId,
        /// Number of the attempt within the call, from 0.
        attempt: u32,
        /// Outcome and response of the attempt.
        end: AttemptEnd<A>,
    },
    /// A probe of this upstream ended with this outcome and, if available, a load report.
    ProbeEnded(ServerId, Outcome, Option<LoadReport>),
    /// Verdicts of the fleet on the health of zones and upstreams.
    HealthVerdicts(&'a [HealthVerdict]),
    /// The time of [`crate::Engine::wake_at`] has been reached.
    Tick,
}

/// An attempt that the front must send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendAttempt {
    /// Id of the call.
    pub id: RequestId,
    /// Number of the attempt within the call, from 0.
    pub attempt: u32,
    /// Process that the attempt is sent to.
    pub to: Peer,
    /// Time at which the front must abandon the attempt.
    pub until: Time,
    /// Time from which the front must not write the first byte of the attempt. An attempt that was not started by
    /// then ends as [`Outcome::Moot`].
    pub begin_by: Time,
    /// Time at which the caller stops waiting. The front sends the remaining time, as of writing the attempt, to the
    /// upstream.
    pub deadline: Time,
}

/// Final result of a call.
#[derive(Debug, PartialEq)]
pub enum CallResult<A> {
    /// Response of an upstream.
    Served(A),
    /// The call was rejected and has not run, so that a retry is harmless. The value is the recommended delay before
    /// a retry in nanoseconds, or 0 for no recommendation.
    Rejected(Duration),
    /// The call failed and may have run.
    Failed,
}

/// Action that a front must execute.
#[derive(Debug, PartialEq)]
pub enum Command<R, A> {
    /// Send an attempt, over a new connection if necessary, and report its end.
    SendAttempt(SendAttempt),
    /// Stop waiting for an attempt. The front must still report the end of the attempt.
    CancelAttempt {
        /// Id of the call.
        id: RequestId,
        /// Number of the attempt within the call, from 0.
        attempt: u32,
    },
    /// Send the final result to the caller.
    Respond {
        /// Request of the call.
        request: R,
        /// Result of the call.
        result: CallResult<A>,
    },
    /// Request the load report of an upstream, and report the result as [`Input::ProbeEnded`].
    Probe(Peer),
    /// Close the idle connections to an upstream. Busy connections may be reused later.
    CloseIdleConnections(ServerId),
    /// Do not use the existing connections to an upstream for new requests, because its process was replaced, no
    /// longer accepts requests, or has been removed. Requests in flight on these connections continue.
    RetireConnections(ServerId),
    /// Subscribe to updates of discovery.
    WatchDiscovery,
    /// Write a line to the log.
    Log(String),
}
