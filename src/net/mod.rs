//! The daemon: callers' sockets on one side, the shared runtime and its connections on the other. Nothing here decides:
//! the engine asks the decision module.

mod admin;
pub mod admin_client;
pub mod config;
mod daemon;
pub mod domain_orders;
pub mod domain_status;
pub mod evacuation;
mod hot_restart;
mod log;
pub mod membership_report;
mod metrics;
pub mod operator_file;
mod server;

pub use daemon::{Daemon, DaemonError, run};
pub use log::log;
pub use metrics::MetricsError;

/// Largest body either way, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Largest response that is read to its end, so that the request can be retried, in bytes; a larger one is passed on as
/// it comes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;
