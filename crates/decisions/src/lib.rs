//! All decisions of woadstall's layer-7 balancer: which server a call goes to, whether it is retried,
//! what is rejected.
//!
//! Daemon, plug-in and the simulator's adapter share them. There is no input or output and no clock
//! here: events come with their time, actions go out.
//!
//! - [`api`] is the interface: settings, events, actions.
//! - `balancer` holds a balancer's state and dispatches events; `membership` keeps its servers.
//! - `policy` decides, a concern to a module.
//! - `tuning` holds the thresholds, gains and windows; `state` the plain records; `log` the log lines.
//!
//! `docs/design.md` says what the decisions keep to.

pub mod api;
mod balancer;
mod handover;
mod log;
mod measurement;
mod membership;
mod policy;
mod state;
mod tuning;

pub use balancer::Balancer;
