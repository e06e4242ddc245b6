//! The control plane without I/O and without a clock: the replicated configuration and evacuations,
//! the registrations of upstreams, and the heartbeats of balancers. The process that runs it hands
//! in packets, calls and the time.
//!
//! - [`machine`] is a control machine: it puts the other modules together.
//! - [`command`], [`state`] and [`configuration`] are what the replicated log holds and makes.
//! - [`registry`], [`balancers`] and [`loads`] are what heartbeats and reports carry; [`shards`]
//!   assigns responsibilities.
//! - [`feed`] and [`wire`] are how balancers and other machines hear of it.

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
