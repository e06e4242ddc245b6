//! A replicated log in the manner of Raft: elections with pre-vote, check of quorum, leadership transfer,
//! single-member changes, learners and snapshots.
//!
//! The crate does no I/O and reads no clock. [`Replica`] is handed the time, messages and completed disk writes; it
//! hands back [`Output`]s: records to make durable, messages to send and committed entries to apply.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod durable;
mod leader;
mod log;
mod message;
mod replica;

pub use durable::{DurableState, Record};
pub use log::{Entry, Log, Member, Membership, Payload, ReplicaId, Snapshot};
pub use message::{Body, Message};
pub use replica::{Output, ProposeError, Replica, Role, Settings, Timing};
