//! A replicated log that implements Raft: elections with pre-vote, leadership transfer,
//! linearizable reads, membership changes by joint consensus, learners, and snapshots that are sent
//! in chunks.
//!
//! The crate does no I/O and reads no clock. The driver of a [`Replica`] passes in the time,
//! received messages and completed writes. The replica returns [`Output`]s: records to make
//! durable, messages to send, and committed entries to apply. Times are in milliseconds on the
//! replica's own monotonic clock.
//!
//! Sources: Ongaro and Ousterhout, *In Search of an Understandable Consensus Algorithm* (2014),
//! cited as "Raft"; Ongaro, *Consensus: Bridging Theory and Practice* (2014), cited as
//! "dissertation".

mod config;
mod durable_report;
mod durable_state;
mod entry;
mod error;
mod heartbeat_rounds;
mod leader_clock;
mod leader_state;
mod log;
mod log_position;
mod membership;
mod message;
mod output;
mod progress;
mod replica;
mod role;
mod snapshot;
mod snapshot_transfer;
mod voter_selection;

pub use config::{Milliseconds, Settings, Timing};
pub use durable_report::DurableReport;
pub use durable_state::{DurableState, Record};
pub use entry::{Entry, EntryPayload};
pub use error::{ChangeVotersError, ProposeError};
pub use leader_clock::{LeaderClock, LeaderTime, is_from_leader};
pub use log::Log;
pub use log_position::{LogIndex, LogPosition, Term};
pub use membership::{Member, Membership, ReplicaId};
pub use message::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    Message, MessageBody, VoteRequest, VoteResponse,
};
pub use output::Output;
pub use replica::Replica;
pub use snapshot::{Snapshot, SnapshotChunk, SnapshotMeta};
pub use voter_selection::{FailureDomain, Liveness, VoterCandidate, choose_voters};
