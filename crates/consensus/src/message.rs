//! The messages between replicas: the requests and responses of Raft.
//!
//! The binary encoding goes by the position of variants and fields, so their order is the wire
//! format.

use crate::entry::Entry;
use crate::log_position::{LogIndex, LogPosition, Term};
use crate::membership::ReplicaId;
use crate::snapshot::{SnapshotChunk, SnapshotMeta};
use nanoserde::{DeBin, SerBin};

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Message {
    /// The sender of the message.
    pub from: ReplicaId,
    /// The receiver of the message. A replica ignores messages for another identity.
    pub to: ReplicaId,
    /// The sender's term. In a pre-vote and its response, the term of the election that the
    /// candidate would start.
    pub term: Term,
    /// The request or response.
    pub body: MessageBody,
}

/// The request or response that a message carries.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum MessageBody {
    /// A candidate requests a vote.
    VoteRequest(VoteRequest),
    /// A replica responds to a vote request.
    VoteResponse(VoteResponse),
    /// A leader sends entries, or a heartbeat without entries.
    AppendEntriesRequest(AppendEntriesRequest),
    /// A follower responds to entries, to a heartbeat, or to the last chunk of a snapshot.
    AppendEntriesResponse(AppendEntriesResponse),
    /// A leader sends a chunk of a snapshot to a follower whose next entries are compacted.
    InstallSnapshotRequest(InstallSnapshotRequest),
    /// A follower responds to a chunk after which the snapshot is still incomplete.
    InstallSnapshotResponse(InstallSnapshotResponse),
    /// A leader asks a follower to begin an election at once (dissertation, section 3.10).
    TimeoutNow,
}

/// A request for a vote (Raft, section 5.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct VoteRequest {
    /// Whether the candidate requests a pre-vote, which changes no replica's term (dissertation,
    /// section 9.6).
    pub pre_vote: bool,
    /// The position of the last entry in the candidate's log.
    pub last_log: LogPosition,
    /// Whether the leader itself has asked the candidate for the election. Voters then grant the
    /// vote although they are in contact with a leader.
    pub leadership_transfer: bool,
}

/// The response to a request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct VoteResponse {
    /// Whether the response is to a pre-vote.
    pub pre_vote: bool,
    /// Whether the voter grants its vote to the candidate.
    pub granted: bool,
}

/// Entries for a follower. A request without entries is a heartbeat (Raft, section 5.3).
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct AppendEntriesRequest {
    /// The position directly before the first entry.
    pub previous: LogPosition,
    /// Contiguous entries that begin at the index after `previous`.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub leader_commit: LogIndex,
    /// The number of the newest heartbeat round that the leader has started.
    pub heartbeat_round: u64,
}

/// The response to entries or to a complete snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct AppendEntriesResponse {
    /// Whether the follower's log matches the leader's log at the previous position.
    pub success: bool,
    /// On success, the last index up to which the follower's log is durable and matches the
    /// leader's log. On failure, the last index at which the two logs may match.
    pub last_index: LogIndex,
    /// The heartbeat round of the request.
    pub heartbeat_round: u64,
}

/// A chunk of a snapshot (Raft, section 7).
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct InstallSnapshotRequest {
    /// A part of the snapshot's encoding.
    pub chunk: SnapshotChunk,
    /// The number of the newest heartbeat round that the leader has started.
    pub heartbeat_round: u64,
}

/// The response to a chunk after which the snapshot is still incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct InstallSnapshotResponse {
    /// The snapshot to which the chunk belongs.
    pub meta: SnapshotMeta,
    /// The length of the prefix of the snapshot's encoding that the follower has received, in
    /// bytes.
    pub received_bytes: u64,
    /// The heartbeat round of the request.
    pub heartbeat_round: u64,
}
