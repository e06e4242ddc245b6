//! What replicas tell each other.

use crate::log::Entry;
use crate::membership::ReplicaId;
use crate::snapshots::{SnapshotChunk, SnapshotMeta};
use nanoserde::{DeBin, SerBin};

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Message {
    /// The replica that sends it.
    pub from: ReplicaId,
    /// The replica that it is meant for.
    pub to: ReplicaId,
    /// The sender's term; in a pre-vote, the term that it would stand in.
    pub term: u64,
    /// The message itself.
    pub body: MessageBody,
}

/// The kinds of messages.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum MessageBody {
    /// Asks for a vote, or with `pre` whether one would be given.
    Vote {
        /// Whether this is a pre-vote, which changes nobody's term.
        pre: bool,
        /// The candidate's last entry.
        last_index: u64,
        /// That entry's term.
        last_term: u64,
        /// Whether the leader itself asked for the election, so that its lease does not stand against it.
        transfer: bool,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Whether this answers a pre-vote.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries for a follower, or none as a heartbeat.
    Append {
        /// The entry before the first one.
        previous_index: u64,
        /// That entry's term.
        previous_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// The position up to which the leader knows the log to be committed.
        commit: u64,
        /// The leader's counter of heartbeat rounds.
        round: u64,
    },
    /// Answers entries or a snapshot.
    AppendReply {
        /// Whether the follower's log agreed.
        success: bool,
        /// The last position that is durable and agrees, or on failure one from which to try again.
        index: u64,
        /// The round that is answered.
        round: u64,
    },
    /// A piece of a snapshot for a follower whose missing entries are gone.
    Install {
        /// The piece.
        piece: SnapshotChunk,
        /// The leader's counter of heartbeat rounds.
        round: u64,
    },
    /// Tells how much of a snapshot has come; a whole one is answered like entries.
    InstallReply {
        /// The snapshot.
        head: SnapshotMeta,
        /// The bytes that are held.
        received: u64,
        /// The round that is answered.
        round: u64,
    },
    /// The leader asks a follower to stand for election at once.
    Elect,
}
