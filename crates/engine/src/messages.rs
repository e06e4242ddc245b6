//! What passes between a front and the engine.

use crate::upstreams::{Peer, UpstreamEntry};
use woadstall_decisions::api::{
    Duration, HealthVerdict, LoadReport, Outcome, RequestId, ServerId, Time,
};

/// A call, as a front takes it.
#[derive(Debug)]
pub struct Call<R> {
    /// Its number: none that is open may be used again.
    pub id: RequestId,
    /// What the front needs to forward it and to respond to it.
    pub request: R,
    /// Its class, as a position in the settings.
    pub class: usize,
    /// Its tenant, as a position in the settings.
    pub tenant: usize,
    /// Its work in nanoseconds, where the caller has an estimate.
    pub work: Option<Duration>,
    /// When its caller stops waiting.
    pub deadline: Time,
    /// Most attempts for it, whatever the settings allow beyond that: 1 where it cannot be sent again.
    pub max_attempts: u32,
}

/// An attempt that was made, as it ended: what the fleet's evidence consists of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRecord {
    /// The call.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// When it ended.
    pub ended_at: Time,
    /// The upstream that it went to.
    pub server: ServerId,
    /// Position of the call's class.
    pub class: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent, in nanoseconds.
    pub elapsed: Duration,
}

/// An attempt that is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptInFlight {
    /// The call.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The upstream that it went to.
    pub server: ServerId,
    /// Position of the call's class.
    pub class: usize,
    /// Time since it was sent, in nanoseconds.
    pub age: Duration,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd<A> {
    /// What is known of it.
    pub outcome: Outcome,
    /// The response, if it is the final one.
    pub response: Option<A>,
    /// The upstream's load report, if one came along.
    pub load: Option<LoadReport>,
}

impl<A> AttemptEnd<A> {
    /// The same end with another form of its response.
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

/// What happens to a front.
#[derive(Debug)]
pub enum Input<'a, R, A> {
    /// Discovery responded with a list of upstreams.
    EndpointsListed {
        /// The upstreams.
        entries: &'a [UpstreamEntry],
        /// These are all upstreams: what is missing is gone. Otherwise these are the ones that changed.
        is_complete: bool,
    },
    /// Discovery failed; the list stays as it was.
    DiscoveryFailed,
    /// A call, read to its end.
    Call(Call<R>),
    /// The caller of a call has disconnected.
    CallerDisconnected(RequestId),
    /// The response to an attempt has begun, and its caller has what came so far: no other attempt may follow.
    ResponseStarted {
        /// The call.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The response that has begun.
        response: A,
    },
    /// An attempt ended; each that was sent must, once.
    AttemptEnded {
        /// The call.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// How it ended.
        end: AttemptEnd<A>,
    },
    /// A probe ended.
    ProbeEnded(ServerId, Outcome, Option<LoadReport>),
    /// What the fleet has found about zones and upstreams.
    HealthVerdicts(&'a [HealthVerdict]),
    /// Time has passed.
    Tick,
}

/// An attempt to be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendAttempt {
    /// The call.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Where it goes.
    pub to: Peer,
    /// When it is given up.
    pub until: Time,
    /// From then on its first byte may no longer be written; it then ends as [`Outcome::Moot`].
    pub begin_by: Time,
    /// When its caller stops waiting. The upstream is sent how long that is from when the attempt is written.
    pub deadline: Time,
}

/// The final result of a call.
#[derive(Debug, PartialEq)]
pub enum CallResult<A> {
    /// An upstream's response.
    Served(A),
    /// Rejected, and not run: a retry is harmless. With how long to wait before it, in nanoseconds; zero for no advice.
    Rejected(Duration),
    /// Failed. It may have run.
    Failed,
}

/// What a front is to do.
#[derive(Debug, PartialEq)]
pub enum Command<R, A> {
    /// Make an attempt, connecting if need be, and report its end.
    SendAttempt(SendAttempt),
    /// Stop waiting for an attempt; its end must be reported all the same.
    CancelAttempt {
        /// The call.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Give the final result to the caller.
    Respond {
        /// The request of the call.
        request: R,
        /// The result.
        result: CallResult<A>,
    },
    /// Ask an upstream for its load report, and report how that ended.
    Probe(Peer),
    /// Close the idle connections to an upstream; busy ones may be used again.
    CloseIdleConnections(ServerId),
    /// Use none of the present connections to an upstream for anything new: its process was replaced, takes nothing new,
    /// or is gone. What is in flight on them goes on.
    RetireConnections(ServerId),
    /// Watch discovery.
    WatchDiscovery,
    /// A line for the log.
    Log(String),
}
