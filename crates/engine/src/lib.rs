//! What every front does round the decision module, as a state machine without I/O.
//!
//! An [`Engine`] owns the module, the upstreams' numbers, the requests and their attempts, the module's timers
//! and the safety net. A front tells it what happened ([`Input`]) and when, in nanoseconds of one clock that
//! only advances (the module takes it for Unix time, as the upstreams' starts are told in that); then it takes
//! what is to be done ([`Command`]) until there is no more, and calls again by [`Engine::wake_at`] at the
//! latest. The engine is generic over what a request (`R`) and an answer (`A`) are, so HTTP/1.1 in the daemon
//! and gRPC in the plug-in sit on the same one.
//!
//! What it guarantees, whatever the module and the front do:
//! - each request that is taken gets exactly one [`Command::Answer`], or none if its caller left before;
//! - the module is told exactly one end for each of its sends, also for those that could not be made;
//! - nothing is sent for a request that is answered, past its time, or beyond the attempts that are allowed;
//! - what is left open is answered [`NET_AFTER`] past its time at the latest.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod engine;
mod members;
mod messages;

pub use engine::{Engine, NET_AFTER};
pub use members::{Entry, Listed, Peer};
pub use messages::{Call, Command, Ended, Input, Observed, Outstanding, Send, Verdict};
pub use woadstall_decisions::api as decisions;
pub use woadstall_decisions::api::{
    LearnedState, Lifecycle, LoadReport, Outcome, RequestId, ServerId, Settings, Time,
};
