//! The load balancer as a plug-in in the caller's process: a `tower::Service` for a `tonic` client or any other client
//! that uses the types of the `http` crate. It makes the same decisions as the daemon.
//!
//! ```no_run
//! # use woadstall_tower::{Balance, Protocol};
//! # async fn start(settings: &[u8]) -> Result<(), Box<dyn std::error::Error>> {
//! let balance = Balance::builder()
//!     .settings(settings)?
//!     .method("/posting.Posting/Load", "cargo-lectura")
//!     .discovery("127.0.0.1:8500".parse()?)
//!     .protocol(Protocol::Http2)
//!     .build()?;
//! // let client = PostingClient::new(balance.clone());
//! # Ok(())
//! # }
//! ```
//!
//! Clones share all state. Dropping the last clone ends the plug-in's two tasks. A call's class, tenant, idempotency
//! key and timeout are taken from a [`CallInfo`] in the request's extensions, or else from the request's path and
//! headers. Calls of an unknown method are treated as unsafe to run twice. Only the plug-in retries; no layer below it
//! does so on its own. `docs/plugin.md` has the tables of outcomes and the reasons for them.

mod builder;
mod call_classes;
mod call_info;
mod error;
mod inherit_time;
mod local_response;
#[cfg(test)]
mod parity_tests;
mod service;
mod timeout;
mod upstream_transport;

pub use builder::Builder;
pub use call_info::CallInfo;
pub use error::BuildError;
pub use inherit_time::{InheritTime, InheritTimeService};
pub use service::Balance;
pub use upstream_transport::Protocol;
pub use woadstall_discovery::{Endpoint, EndpointList, EndpointState};
pub use woadstall_transport::{ResponseBody, ResponseBodyError};
