//! The records of a segment and their framing: length, checksum, payload.

use nanoserde::{DeBin, SerBin};
use woadstall_consensus::{Entry, LogIndex, Record, ReplicaId, Snapshot, Term};

/// Bytes before each payload: its length and its checksum, in little-endian order.
pub(super) const PREFIX_BYTES: usize = 8;

/// A record of a segment. The order of variants and of fields is the format.
#[derive(Clone, Debug, SerBin, DeBin)]
// Not `pub(super)`, which the derive of nanoserde does not parse.
pub enum SegmentRecord {
    /// The beginning of the checkpoint.
    CheckpointStart {
        id: ReplicaId,
        term: Term,
        voted_for: ReplicaId,
        commit_index: LogIndex,
        snapshot: Snapshot,
    },
    /// The entries of the checkpoint.
    CheckpointEntries(Vec<Entry>),
    /// The end of the checkpoint.
    CheckpointEnd,
    /// A change that was added after the checkpoint.
    Update(Record),
}

/// Length and checksum of a payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecordPrefix {
    pub length: usize,
    pub checksum: u32,
}

impl RecordPrefix {
    /// Decodes the prefix at the beginning of `bytes`, which must have [`PREFIX_BYTES`] or more.
    pub fn decode(bytes: &[u8]) -> Self {
        let field = |start: usize| {
            u32::from_le_bytes(bytes[start..start + 4].try_into().unwrap_or_default())
        };
        Self {
            length: field(0) as usize,
            checksum: field(4),
        }
    }

    /// Encodes the prefix of a payload at an offset of a segment.
    pub fn encode(sequence: u64, offset: u64, payload: &[u8]) -> [u8; PREFIX_BYTES] {
        let mut bytes = [0; PREFIX_BYTES];
        bytes[..4].copy_from_slice(&(payload.len() as u32).to_le_bytes());
        bytes[4..].copy_from_slice(&checksum(sequence, offset, payload).to_le_bytes());
        bytes
    }
}

/// The CRC-32 of a payload at an offset of a segment.
pub(super) fn checksum(sequence: u64, offset: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
