//! Events: the inputs of a balancer.

use super::{Duration, RequestId, ServerEntry, ServerId, Time, ZoneId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server responded successfully.
    Ok,
    /// The server responded with an error; the request may have run.
    Error,
    /// The server declined the request as invalid. Its response is final, and does not count as a
    /// success or failure of the server.
    Declined,
    /// An overloaded server rejected the attempt without processing it.
    Full,
    /// No response arrived within the attempt's timeout; the request may have run.
    Timeout,
    /// No connection could be established; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }
}

/// Load figures reported by a server, in the order of the deployment's report fields.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The figures; only the first `len` are valid.
    pub figures: [f32; 4],
    /// Number of valid figures.
    pub len: usize,
}

/// Parameters of a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestParameters {
    /// Position of the request's class in [`super::Settings::classes`].
    pub class: usize,
    /// Position of the request's tenant in [`super::Settings::tenants`].
    pub tenant: usize,
    /// Time from now that the client waits for a response, in nanoseconds.
    pub time_left: Duration,
    /// Approximate work of the request, in nanoseconds; `None` if unknown.
    pub work: Option<Duration>,
    /// Maximum number of attempts for this request; 1 if it cannot be sent again. The lower of this
    /// limit and [`super::Settings::max_attempts`] applies.
    pub max_attempts: u32,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent, in nanoseconds.
    pub elapsed: Duration,
    /// Whether the request has its final response, or its client has disconnected.
    pub closed: bool,
    /// Load report that came with the response, if any.
    pub load: Option<LoadReport>,
}

/// A part of the fleet that can fail as a whole, as the subject of health evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FailureDomain {
    /// A zone. If the position of a class is given, only the calls of that class to the zone.
    Zone(ZoneId, Option<usize>),
    /// The current process of a server.
    Server(ServerId),
}

/// Health evidence of the fleet on a failure domain.
///
/// A verdict only shifts new traffic. It does not affect calls in flight, and does not override any
/// of the rules that the decisions follow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthVerdict {
    /// The failure domain that is assessed.
    pub domain: FailureDomain,
    /// Share of its usual new traffic that the domain should get, from 0 to 1.
    pub share: f32,
    /// Time at which the verdict expires unless it is renewed.
    pub until: Time,
}

/// An event that the host reports to a balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Changed entries of the server list.
    ServerListChange(&'a [ServerEntry]),
    /// The complete server list. Known servers that are missing from it have been removed.
    ServerList(&'a [ServerEntry]),
    /// A call to discovery failed or the subscription broke. The known server list stays in use.
    SubscriptionFailed,
    /// A new request, which needs exactly one final response.
    Request(RequestId, RequestParameters),
    /// The streamed response to a request has begun, on the attempt with this number. The deadline
    /// does not apply any more.
    ResponseStarted(RequestId, u32),
    /// An attempt ended.
    AttemptEnded(RequestId, AttemptEnd),
    /// The client disconnected and needs no response.
    ClientDisconnected(RequestId),
    /// A load probe of a server ended, with the server's load report if it sent one.
    ProbeEnded(ServerId, Outcome, Option<LoadReport>),
    /// New health evidence of the fleet on zones and servers.
    HealthVerdicts(&'a [HealthVerdict]),
    /// A timer of this balancer fired; the token is the one of [`super::Action::SetTimer`].
    Timer(u64),
}
