//! A replicated log in the manner of Raft: elections with pre-vote, check of quorum, leadership transfer, changes of
//! members by joint consensus, learners, and snapshots in pieces.
//!
//! The crate does no I/O and reads no clock. [`Replica`] is handed the time, messages and completed disk writes; it
//! hands back [`Output`]s: records to make durable, messages to send and committed entries to apply.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod durable;
mod election;
mod follower;
mod leader;
mod log;
mod membership;
mod message;
mod reads;
mod reconfiguration;
mod replica;
mod roles;
mod snapshots;
mod voters;

pub use durable::{DurableState, Record};
pub use log::{Entry, EntryPayload, Log, Snapshot};
pub use membership::{Member, Membership, ReplicaId};
pub use message::{Message, MessageBody};
pub use replica::{Output, ProposeError, Replica, Settings, Timing};
pub use roles::Role;
pub use snapshots::{SnapshotChunk, SnapshotMeta};
pub use voters::{FailureDomain, Liveness, VoterCandidate, choose_voters};
