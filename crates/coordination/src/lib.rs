//! The coordination service for applications, without I/O and without a clock: locks with leases and
//! fencing tokens, sequences of numbers, key-value entries with revisions, and watches.
//!
//! - [`command`] and [`outcome`] are the calls of applications and what comes of them.
//! - [`batch`] is an entry of the replicated log: the commands that were committed together, and how
//!   much time had passed.
//! - [`state`] is what the log makes of them. It is deterministic: all replicas come to the same state.
//! - [`machine`] is a replica of the group with the calls and watches that wait at it. The process
//!   that runs it hands in packets, calls and the time.
//! - [`encoding`] is how batches and states are stored.
//! - [`wire`] is what the machines send each other.

pub mod batch;
pub mod command;
pub mod encoding;
pub mod machine;
pub mod outcome;
pub mod state;
pub mod wire;
