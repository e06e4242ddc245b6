//! Actions: the decisions of a balancer.

use super::{Duration, RequestId, ServerId, Time};

/// An action that the balancer's host has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The server that the attempt goes to.
        server: ServerId,
        /// Time at which the attempt times out.
        until: Time,
        /// Time from which the first byte of the attempt must not be written any more, for example
        /// because a connection was established too late. The attempt then ends as
        /// [`super::Outcome::Moot`].
        begin_by: Time,
    },
    /// Final response: the request is rejected, and the client may safely retry it.
    Reject {
        /// The request.
        id: RequestId,
        /// `Retry-After` for the client, in nanoseconds; 0 for none.
        retry_after: Duration,
    },
    /// Final response: the request failed, and may or may not have taken effect.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Ask a server for its load report.
    Probe(ServerId),
    /// Close the idle connections to a server.
    CloseIdleConnections(ServerId),
    /// Set a timer that delivers [`super::Event::Timer`].
    SetTimer {
        /// Delay from now, in nanoseconds.
        after: Duration,
        /// Token that is returned with the event.
        token: u64,
    },
    /// Subscribe to changes of the server list.
    Subscribe,
    /// Write a line to the operator's log.
    Log(String),
}
