//! What a balancer is notified of.

use super::{Duration, RequestId, ServerEntry, ServerId, Time, ZoneId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response.
    Ok,
    /// The server responded with an error; it may have run the request.
    Error,
    /// The server found fault with the request, and its response is the final one: it says nothing
    /// of the server.
    Declined,
    /// Rejected by an overloaded server that has not looked at it.
    Full,
    /// No response within the attempt's time-out; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }
}

/// A server's own load figures, in the order of the deployment's report fields.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The figures; only the first `len` are valid.
    pub figures: [f32; 4],
    /// How many figures there are.
    pub len: usize,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestParameters {
    /// Position of its class.
    pub class: usize,
    /// Position of its tenant.
    pub tenant: usize,
    /// How long its client waits from now on.
    pub time_left: Duration,
    /// Its work, roughly, where that is known.
    pub work: Option<Duration>,
    /// Most attempts for it, where the settings allow more: 1 if it cannot be sent again.
    pub max_attempts: u32,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// The request has its final response.
    pub closed: bool,
    /// The server's own figures, if any came along.
    pub load: Option<LoadReport>,
}

/// What the fleet's health evidence is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FailureDomain {
    /// A zone, or one class (by position) at it.
    Zone(ZoneId, Option<usize>),
    /// A server, as its process is now.
    Server(ServerId),
}

/// What the fleet's health evidence says of a failure domain.
///
/// It is evidence, not a command: it shifts new traffic only. It proves nothing of a call in flight,
/// and lifts no rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthVerdict {
    /// What it is about.
    pub domain: FailureDomain,
    /// The share of its usual new traffic that it should get, from 0 to 1.
    pub share: f32,
    /// When it expires, unless it is renewed.
    pub until: Time,
}

/// What a balancer is notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Changed entries of the list of servers.
    ServerListChange(&'a [ServerEntry]),
    /// The complete list of servers; what is missing from it has been removed.
    ServerList(&'a [ServerEntry]),
    /// A call to discovery failed or the subscription broke; the list stays as it was.
    SubscriptionFailed,
    /// A request that needs one response.
    Request(RequestId, RequestParameters),
    /// The response of a streamed request has begun with this attempt; no deadline applies any more.
    ResponseStarted(RequestId, u32),
    /// An attempt ended.
    AttemptEnded(RequestId, AttemptEnd),
    /// The client disconnected; it needs no response any more.
    ClientDisconnected(RequestId),
    /// A probe of a server ended, with the server's own figures if any came along.
    ProbeEnded(ServerId, Outcome, Option<LoadReport>),
    /// The fleet's health evidence on zones and servers.
    HealthVerdicts(&'a [HealthVerdict]),
    /// A timer that this balancer has set fired; the token is that of [`super::Action::SetTimer`].
    Timer(u64),
}
