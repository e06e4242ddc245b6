//! The messages between replicas: the requests and responses of Raft, and their encoding.
//!
//! The order of variants and of fields is the wire format.

use crate::entry::Entry;
use crate::log_position::{LogIndex, LogPosition, Term};
use crate::membership::ReplicaId;
use crate::snapshot::{SnapshotChunk, SnapshotMeta};
use nanoserde::{DeBin, SerBin};

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver.
    pub to: ReplicaId,
    /// The sender's term; in a pre-vote, the term in which it would be a candidate.
    pub term: Term,
    /// The request or the response.
    pub body: MessageBody,
}

/// The kinds of messages.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum MessageBody {
    /// A candidate asks for a vote.
    VoteRequest(VoteRequest),
    /// The response to it.
    VoteResponse(VoteResponse),
    /// A leader sends entries, or a heartbeat without any.
    AppendEntriesRequest(AppendEntriesRequest),
    /// The response to it, and to a snapshot that is complete.
    AppendEntriesResponse(AppendEntriesResponse),
    /// A leader sends a chunk of a snapshot to a follower whose next entries are compacted.
    InstallSnapshotRequest(InstallSnapshotRequest),
    /// The response to a snapshot that is not complete.
    InstallSnapshotResponse(InstallSnapshotResponse),
    /// A leader asks a follower to begin an election at once (dissertation, section 3.10).
    TimeoutNow,
}

/// A request for a vote (Raft, section 5.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct VoteRequest {
    /// Whether this is a pre-vote, which changes nobody's term (dissertation, section 9.6).
    pub pre_vote: bool,
    /// The position of the candidate's last entry.
    pub last_log: LogPosition,
    /// Whether the leader itself asked for the election, so that its lease does not prevent it.
    pub leadership_transfer: bool,
}

/// The response to a request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct VoteResponse {
    /// Whether this is about a pre-vote.
    pub pre_vote: bool,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Entries for a follower; without any, a heartbeat (Raft, section 5.3).
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct AppendEntriesRequest {
    /// The position of the entry before the first one.
    pub previous: LogPosition,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub leader_commit: LogIndex,
    /// The newest round of heartbeats that the leader has started.
    pub heartbeat_round: u64,
}

/// The response to entries or to a complete snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct AppendEntriesResponse {
    /// Whether the follower's log matched at the previous position.
    pub success: bool,
    /// On success the last index that is durable and matches the leader's log, else the last index
    /// that may match.
    pub last_index: LogIndex,
    /// The round of the request.
    pub heartbeat_round: u64,
}

/// A chunk of a snapshot (Raft, section 7).
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct InstallSnapshotRequest {
    /// The chunk.
    pub chunk: SnapshotChunk,
    /// The newest round of heartbeats that the leader has started.
    pub heartbeat_round: u64,
}

/// The response to a chunk of a snapshot that is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct InstallSnapshotResponse {
    /// The snapshot.
    pub meta: SnapshotMeta,
    /// The bytes of its encoding that the follower has, from the beginning.
    pub received_bytes: u64,
    /// The round of the request.
    pub heartbeat_round: u64,
}
