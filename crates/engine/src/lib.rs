//! State machine of the load balancer around its decision module, without I/O.
//!
//! An [`Engine`] owns the decision module, the ids of the upstreams, the calls and their attempts, the timers of the
//! decision module and the timeout of overdue calls. A front is the part of the balancer that receives calls and
//! does the I/O. It passes each event to the engine as an [`Input`], with the time in nanoseconds of one monotonic
//! clock. The decision module compares this time with the start times of upstreams, so the clock must show Unix time.
//! The front then executes each [`Command`] until [`Engine::next_command`] returns `None`, and calls the engine again
//! no later than [`Engine::wake_at`]. The engine is generic over the types of requests (`R`) and responses (`A`), so
//! that the daemon (HTTP/1.1) and the plug-in (gRPC) share one implementation.
//!
//! The engine gives these guarantees for any behaviour of the decision module and the front:
//! - Each accepted call gets exactly one [`Command::Respond`], or none if its caller disconnected before the
//!   response.
//! - The decision module receives exactly one end for each of its attempts, including attempts that could not be
//!   sent.
//! - No attempt is sent for a call that has its response, is past its deadline, or has used up its attempts.
//! - A call without a response fails [`OVERDUE_GRACE_PERIOD_NS`] after its deadline at the latest.

mod engine;
mod messages;
mod upstreams;

pub use engine::{Engine, OVERDUE_GRACE_PERIOD_NS};
pub use messages::{
    AttemptEnd, AttemptInFlight, AttemptRecord, Call, CallResult, Command, Input, SendAttempt,
};
pub use upstreams::{ListedUpstream, Peer, UpstreamEntry};
pub use woadstall_decisions::api as decisions;
pub use woadstall_decisions::api::{
    LearnedState, Lifecycle, LoadReport, Outcome, RequestId, ServerId, Settings, Time,
};
