//! The control plane as a state machine without I/O and without a clock. It covers the replicated
//! configuration and evacuations, the registrations of upstreams, and the heartbeats of balancers.
//! The host process passes in packets, calls and the current time.
//!
//! - [`machine`] is a control machine, which combines the other modules.
//! - [`command`], [`state`] and [`configuration`] are the entries of the replicated log and the
//!   state that results from them.
//! - [`registry`], [`balancers`] and [`loads`] hold the contents of heartbeats and load reports;
//!   [`shards`] assigns responsibilities to machines.
//! - [`feed`] and [`wire`] distribute changes to balancers and other machines.

pub mod balancers;
pub mod command;
pub mod configuration;
pub mod feed;
pub mod loads;
pub mod machine;
pub mod merge;
pub mod reader;
pub mod registry;
pub mod shards;
pub mod state;
pub mod wire;
