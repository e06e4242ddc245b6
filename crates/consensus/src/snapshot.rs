//! Snapshots of the state machine, and the chunks in which a leader sends a snapshot.

use crate::log_position::{LogIndex, LogPosition, Term};
use crate::membership::Membership;
use nanoserde::{DeBin, SerBin};

/// The state of the state machine at a position of the log. A snapshot replaces all entries up to
/// its position (Raft, section 7).
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Snapshot {
    /// The index of the last entry that the snapshot covers.
    pub index: LogIndex,
    /// The term of the last entry that the snapshot covers.
    pub term: Term,
    /// The membership as of `index`.
    pub membership: Membership,
    /// The state, in the state machine's own encoding.
    pub state: Vec<u8>,
}

impl Snapshot {
    /// Returns the position of the last entry that the snapshot covers.
    pub fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: self.term,
        }
    }
}

/// The metadata that identifies a snapshot during a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct SnapshotMeta {
    /// The position of the last entry that the snapshot covers.
    pub last_log: LogPosition,
    /// The size of the snapshot's encoding, in bytes.
    pub size: u64,
    /// The CRC-32 of the snapshot's encoding.
    pub checksum: u32,
}

impl SnapshotMeta {
    /// Computes the metadata of a snapshot from its encoding.
    pub fn of(snapshot: &Snapshot, encoded: &[u8]) -> Self {
        Self {
            last_log: snapshot.position(),
            size: encoded.len() as u64,
            checksum: crc32fast::hash(encoded),
        }
    }
}

/// A contiguous part of a snapshot's encoding.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct SnapshotChunk {
    /// The snapshot to which the chunk belongs.
    pub meta: SnapshotMeta,
    /// The offset of the chunk in the encoding, in bytes.
    pub offset: u64,
    /// The content of the chunk.
    pub bytes: Vec<u8>,
}
