//! The daemon: connects callers' sockets to the shared runtime and its upstream connections. Routing decisions are made
//! by the decision module, which the engine calls.

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

/// Maximum size of a request or response body, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Maximum size of a response that is buffered completely, in bytes. While a response is buffered, its request can
/// still be retried; larger responses are streamed to the caller.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;
