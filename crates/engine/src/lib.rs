//! What every front does around the decision module, as a state machine without I/O.
//!
//! An [`Engine`] owns the decision module, the upstreams' numbers, the calls and their attempts, the module's timers and
//! the safety net. A front passes it what happened ([`Input`]) and when, in nanoseconds of one clock that only advances
//! (the module takes it for Unix time, since the upstreams' starts are given in that). Then it takes what is to be done
//! ([`Command`]) until there is no more, and calls again by [`Engine::wake_at`] at the latest. The engine is generic over
//! what a request (`R`) and a response (`A`) are, so HTTP/1.1 in the daemon and gRPC in the plug-in use the same one.
//!
//! What it guarantees, whatever the module and the front do:
//! - each call that is taken gets exactly one [`Command::Respond`], or none if its caller disconnected before;
//! - the module gets exactly one end for each of its attempts, also for those that could not be made;
//! - nothing is sent for a call that has its response, is past its deadline, or has used up its attempts;
//! - what is left open gets a response [`SAFETY_NET_DELAY`] past its deadline at the latest.

mod engine;
mod messages;
mod upstreams;

pub use engine::{Engine, SAFETY_NET_DELAY};
pub use messages::{
    AttemptEnd, AttemptInFlight, AttemptRecord, Call, CallResult, Command, Input, SendAttempt,
};
pub use upstreams::{ListedUpstream, Peer, UpstreamEntry};
pub use woadstall_decisions::api as decisions;
pub use woadstall_decisions::api::{
    LearnedState, Lifecycle, LoadReport, Outcome, RequestId, ServerId, Settings, Time,
};
