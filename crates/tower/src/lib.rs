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
//! A clone shares everything; the last one ends the plug-in's two tasks. What a call is (its class, tenant, key
//! and time) is told by [`CallInfo`] among its extensions, or by its method path and headers; a method that is
//! not known counts as one that must never run twice. Nothing is retried but by the decisions: no layer below
//! does so by itself. `docs/plugin.md` has the tables of outcomes and the reasons.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answer;
mod ask;
mod builder;
mod inherit;
#[cfg(test)]
mod parity_tests;
mod service;
mod wire;

pub use ask::CallInfo;
pub use builder::{BuildError, Builder, Protocol};
pub use inherit::{InheritTime, Inheriting};
pub use service::Balance;
pub use woadstall_discovery::{Endpoint, EndpointList, EndpointState};
pub use woadstall_transport::{ResponseBody, ResponseBodyError};
