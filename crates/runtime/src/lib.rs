//! The engine on tokio, as the daemon and the plug-in both use it.
//!
//! A [`LoadBalancer`] holds the engine behind a mutex that is never held across an await. A call drives its own attempts
//! in its own task: it passes the call to the engine, makes each attempt through a [`Transport`], reports how that ended,
//! and so on until there is a result. Nothing is spawned for it. One task of the load balancer runs the timers, another
//! watches discovery; both end with its last clone.
//!
//! A call that is dropped cancels its attempt at once, in the same drop. Where the settings forbid that, the attempt is
//! left to finish in a task of its own, so that its end is still learned.

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
