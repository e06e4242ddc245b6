//! woadstall inside the caller: the daemon's decisions as a `tower::Service` under a `tonic` client, or any
//! client that speaks `http`.
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
//! Clones share everything; the last one ends the plug-in's two tasks. [`CallInfo`] among a request's extensions
//! says what the call is (its class, tenant, key and timeout), or else its method's path and headers do; a method
//! that is not known counts as one that must never run twice. Only the decisions retry: no layer below does so by
//! itself. `docs/plugin.md` has the tables of outcomes and the reasons.

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
