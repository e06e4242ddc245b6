//! What a balancer decides.

use super::{Duration, RequestId, ServerId, Time};

/// What a balancer's host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// When the attempt times out.
        until: Time,
        /// From then on its first byte must not be written any more, as when a connection came up
        /// too late. It then ends as [`super::Outcome::Moot`].
        begin_by: Time,
    },
    /// Final response: rejected, and trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// `Retry-After` for the client; 0 for none.
        retry_after: Duration,
    },
    /// Final response: failed, with no promise on its effect.
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
    /// Set a timer, for [`super::Event::Timer`].
    SetTimer {
        /// From now.
        after: Duration,
        /// Comes back with the event.
        token: u64,
    },
    /// Subscribe to changes of the list of servers.
    Subscribe,
    /// A line for the operators.
    Log(String),
}
