//! What clients, upstreams and the fault injector have seen in a soak of the fronts, and the checks of this history.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Time after SIGTERM within which a process must end.
pub const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// A connection that ends without a response within this time after the last byte of a request counts as having crossed
/// the request (`loss_slack_ms`).
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Requests that are sent later than this after SIGTERM must not be aborted by the end of the grace period.
const LATE_REQUEST: Duration = Duration::from_secs(3);

/// How a client's connection ended before a response was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    Closed,
    Reset,
    /// The client itself gave up, for example after half-closing the connection.
    ByClient,
}

/// What a client got for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response.
    Response(Response),
    /// The connection ended first. `status` is that of a response that had begun.
    NoResponse {
        end: ConnectionEnd,
        status: Option<u16>,
    },
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    /// The `Request-Id` of the response, which only responses of an upstream have.
    pub request_id: Option<String>,
    /// The events of a successful stream.
    pub events: Vec<Event>,
}

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub number: u32,
    /// The id of the request that the event belongs to.
    pub request_id: String,
}

/// A request of a client. Times are measured from the start of the run.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub front: u8,
    /// Number of events of the complete stream.
    pub events: u32,
    pub is_resumable: bool,
    /// The client's deadline for the response, from [`Request::head_sent`].
    pub deadline: Duration,
    /// Time at which the end of the head was sent.
    pub head_sent: Duration,
    /// Time at which the last byte was sent.
    pub sent: Duration,
    /// Time of the end of the response or of the connection.
    pub ended: Duration,
    pub outcome: Outcome,
}

/// A request that an upstream has received.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number of the last event that the client has received, in a request that resumes a stream.
    pub resumed_after: Option<u32>,
    /// Time at which the upstream completes the response.
    pub done: Duration,
}

/// SIGTERM for a front.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    pub front: u8,
    pub began: Duration,
}

/// Everything that was seen in a run.
#[derive(Debug, Default)]
pub struct History {
    pub requests: Vec<Request>,
    pub arrivals: BTreeMap<String, Vec<Arrival>>,
    pub shutdowns: Vec<Shutdown>,
}

/// A broken rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    Lost,
    Order,
    Mixed,
    Twice,
    Refused,
}

/// A rule that a request has broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    pub request_id: String,
    /// What was seen.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}: {}", self.rule, self.request_id, self.details)
    }
}

impl History {
    /// Returns all violations.
    pub fn violations(&self) -> Vec<Violation> {
        let checks = [
            Self::check_lost,
            Self::check_order,
            Self::check_mixed,
            Self::check_twice,
            Self::check_refused,
        ];
        let check_request = |request| checks.iter().filter_map(move |check| check(self, request));
        self.requests.iter().flat_map(check_request).collect()
    }

    fn arrivals_of(&self, request: &Request) -> &[Arrival] {
        self.arrivals.get(&request.id).map_or(&[], Vec::as_slice)
    }

    /// A connection must not end without a complete response to a request that was forwarded, or later than
    /// [`LOSS_SLACK`] after the request.
    fn check_lost(&self, request: &Request) -> Option<Violation> {
        let Outcome::NoResponse { end, .. } = request.outcome else {
            return None;
        };
        let was_forwarded = !self.arrivals_of(request).is_empty();
        let is_lost = was_forwarded || request.ended > request.sent + LOSS_SLACK;
        let is_excluded = end == ConnectionEnd::ByClient
            || request.ended >= request.head_sent + request.deadline
            || self.was_ended_by_grace_period(request);
        (is_lost && !is_excluded)
            .then(|| violation(Rule::Lost, request, &self.arrivals_of(request)))
    }

    /// Whether the upstream was still at work in the second half of the grace period, on a request that was sent no later
    /// than [`LATE_REQUEST`] after SIGTERM.
    fn was_ended_by_grace_period(&self, request: &Request) -> bool {
        let is_at_work = |arrival: &Arrival| arrival.done > request.ended;
        let arrivals = self.arrivals_of(request);
        self.shutdowns.iter().any(|shutdown| {
            shutdown.front == request.front
                && request.sent <= shutdown.began + LATE_REQUEST
                && request.ended >= shutdown.began + GRACE_PERIOD / 2
                && request.ended <= shutdown.began + GRACE_PERIOD + LOSS_SLACK
                && arrivals.iter().any(is_at_work)
        })
    }

    /// A complete successful stream has all events, once and in order.
    fn check_order(&self, request: &Request) -> Option<Violation> {
        let response = successful_response(request)?;
        let numbers: Vec<u32> = response.events.iter().map(|event| event.number).collect();
        let is_complete = numbers.iter().copied().eq(1..=request.events);
        (!is_complete).then(|| violation(Rule::Order, request, &numbers))
    }

    /// A response that names a request, and each event of a stream, belongs to the client's request.
    fn check_mixed(&self, request: &Request) -> Option<Violation> {
        let Outcome::Response(response) = &request.outcome else {
            return None;
        };
        let is_other = |id: &String| *id != request.id;
        let lacks_id = response.status == 200 && response.request_id.is_none();
        let is_mixed = lacks_id
            || response.request_id.as_ref().is_some_and(is_other)
            || response
                .events
                .iter()
                .any(|event| is_other(&event.request_id));
        is_mixed.then(|| violation(Rule::Mixed, request, &response))
    }

    /// A request that cannot be resumed reaches one upstream at most. A resumed request names the last event.
    fn check_twice(&self, request: &Request) -> Option<Violation> {
        let arrivals = self.arrivals_of(request);
        let repeats = arrivals.iter().skip(1);
        let is_allowed =
            |arrival: &Arrival| request.is_resumable && arrival.resumed_after.is_some();
        let is_twice = !repeats.clone().all(is_allowed);
        is_twice.then(|| violation(Rule::Twice, request, &arrivals))
    }

    /// A rejected request has not been executed.
    fn check_refused(&self, request: &Request) -> Option<Violation> {
        let Outcome::Response(Response {
            status: status @ (408 | 421 | 429 | 503),
            ..
        }) = request.outcome
        else {
            return None;
        };
        let has_run = !self.arrivals_of(request).is_empty();
        has_run.then(|| violation(Rule::Refused, request, &status))
    }
}

fn successful_response(request: &Request) -> Option<&Response> {
    match &request.outcome {
        Outcome::Response(response) if response.status == 200 => Some(response),
        _ => None,
    }
}

fn violation(rule: Rule, request: &Request, seen: &dyn fmt::Debug) -> Violation {
    Violation {
        rule,
        request_id: request.id.clone(),
        details: format!(
            "front-{} sent {:?} ended {:?} {:?}; seen {seen:?}",
            request.front, request.sent, request.ended, request.outcome
        ),
    }
}
