//! Runs the engine on tokio, for the daemon and for the tower plug-in.
//!
//! A [`LoadBalancer`] holds the engine behind a mutex that is never held across an await. Each call drives its attempts
//! in the caller's task: the call is passed to the engine, each attempt is made through a [`Transport`], and the
//! outcome of each attempt is reported to the engine, until the engine returns a result. No task is spawned per call.
//! Each load balancer has one task for timers and one for the discovery watch; both tasks end when the last clone is
//! dropped.
//!
//! Dropping a call cancels its running attempt immediately. If the settings forbid cancellation, the attempt continues
//! in a separate task, so that the engine still learns the outcome.

mod attempt;
mod clock;
mod command_queue;
mod discovery_status;
mod error;
mod load_balancer;
mod observations;
mod pending_call;
mod response_tail;
mod shared;
mod timers;
mod transport;

pub use attempt::Attempt;
pub use clock::Clock;
pub use discovery_status::DiscoveryStatus;
pub use error::{ReconfigureError, StartError};
pub use load_balancer::{CallParameters, LoadBalancer, LoadBalancerConfig};
pub use observations::{Observations, Upstream};
pub use response_tail::ResponseTail;
pub use shared::LogSink;
pub use transport::{AttemptProgress, Transport};
pub use woadstall_engine as engine;
