//! All decisions of woadstall: which server a call goes to, whether it is tried again, what is refused. Daemon,
//! plug-in and the simulator's adapter share them. No input or output, no clock: events come with their time,
//! actions go out.
//!
//! `policy` decides and holds the constants, `api` is the interface, `state` the memory. `docs/design.md` says
//! what the decisions keep to.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod policy;
mod state;

pub use policy::Balancer;
