//! Snapshots of the state machine, and the chunks in which they are sent.

use crate::log_position::{LogIndex, LogPosition, Term};
use crate::membership::Membership;
use nanoserde::{DeBin, SerBin};

/// The state machine at a position of the log. It replaces all entries up to there (Raft, section
/// 7).
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Snapshot {
    /// The index of the last entry that it covers.
    pub index: LogIndex,
    /// That entry's term.
    pub term: Term,
    /// The membership at that position.
    pub membership: Membership,
    /// The state machine in its own encoding.
    pub state: Vec<u8>,
}

impl Snapshot {
    /// The position of the last entry that it covers.
    pub fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: self.term,
        }
    }
}

/// Identifies a snapshot that is being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct SnapshotMeta {
    /// The position of the last entry that it covers.
    pub last_log: LogPosition,
    /// The bytes of its encoding.
    pub size: u64,
    /// The CRC-32 of its encoding.
    pub checksum: u32,
}

impl SnapshotMeta {
    /// The metadata of a snapshot with this encoding.
    pub fn of(snapshot: &Snapshot, encoded: &[u8]) -> Self {
        Self {
            last_log: snapshot.position(),
            size: encoded.len() as u64,
            checksum: crc32fast::hash(encoded),
        }
    }
}

/// A chunk of a snapshot's encoding.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct SnapshotChunk {
    /// The snapshot that it belongs to.
    pub meta: SnapshotMeta,
    /// The offset of the chunk in the encoding, in bytes.
    pub offset: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}
