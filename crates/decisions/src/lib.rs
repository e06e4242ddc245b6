//! Decision module of woadstall's layer-7 load balancer: server selection, retries and rejection of
//! requests.
//!
//! The module is shared by the daemon, the plug-in and the simulator's adapter. It does no I/O and
//! reads no clock: the host passes in events with their times and carries out the returned actions.
//!
//! - [`api`] is the interface: settings, events and actions.
//! - `balancer` holds the state of a balancer and dispatches events; `membership` maintains its
//!   servers.
//! - `policy` makes the decisions, with one module per concern.
//! - `measurement` updates the averages and counts that the policies read.
//! - `tuning` holds the thresholds, gains and windows, `state` the plain records, and `log` the log
//!   lines.
//! - `handover` passes learned state on to a new process.
//!
//! `docs/design.md` states the rules that the decisions follow.

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
