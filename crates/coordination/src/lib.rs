//! A coordination service for applications, implemented as a replicated state machine without I/O
//! and without a clock of its own. It provides locks with leases and fencing tokens, sequence
//! numbers, key-value entries with revisions, and watches.
//!
//! - [`command`] and [`outcome`] define the calls of applications and their outcomes.
//! - [`batch`] defines the entries of the replicated log. An entry holds the calls that are
//!   committed together and the time at which they are executed.
//! - [`state`] applies the log. It is deterministic, so all replicas reach the same state.
//! - [`machine`] runs a replica of the group with its pending calls and watches. The surrounding
//!   process passes in packets, calls and the current time.
//! - [`encoding`] defines the stored form of batches and states.
//! - [`wire`] defines the packets that machines exchange.

pub mod batch;
pub mod command;
pub mod encoding;
pub mod machine;
pub mod outcome;
pub mod state;
pub mod wire;
