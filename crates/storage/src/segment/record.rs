//! The records of a segment. Each record is framed as a length, a checksum and a payload.

use nanoserde::{DeBin, SerBin};
use woadstall_consensus::{Entry, LogIndex, Record, ReplicaId, Snapshot, Term};

/// The size of the prefix of a record, in bytes. The prefix holds the length and the checksum of
/// the payload in little-endian byte order.
pub(super) const PREFIX_BYTES: usize = 8;

/// The payload of a record. The binary encoding goes by the position of variants and fields, so
/// their order is part of the file format.
#[derive(Clone, Debug, SerBin, DeBin)]
// The visibility is not `pub(super)`, because the derive macros of nanoserde do not parse it.
pub enum SegmentRecord {
    /// The first record of the checkpoint, with the complete state except for the log entries.
    CheckpointStart {
        id: ReplicaId,
        term: Term,
        voted_for: ReplicaId,
        commit_index: LogIndex,
        snapshot: Snapshot,
    },
    /// The second record of the checkpoint, with the log entries after the snapshot.
    CheckpointEntries(Vec<Entry>),
    /// The last record of the checkpoint, which shows that the checkpoint is complete.
    CheckpointEnd,
    /// A change of the state after the checkpoint.
    Update(Record),
}

/// The length and the checksum of a payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecordPrefix {
    pub length: usize,
    pub checksum: u32,
}

impl RecordPrefix {
    /// Decodes the prefix at the beginning of `bytes`, which must hold at least [`PREFIX_BYTES`]
    /// bytes.
    pub fn decode(bytes: &[u8]) -> Self {
        let field = |start: usize| {
            u32::from_le_bytes(bytes[start..start + 4].try_into().unwrap_or_default())
        };
        Self {
            length: field(0) as usize,
            checksum: field(4),
        }
    }

    /// Encodes the prefix of a record that begins at `offset` in the segment with this sequence
    /// number.
    pub fn encode(sequence: u64, offset: u64, payload: &[u8]) -> [u8; PREFIX_BYTES] {
        let mut bytes = [0; PREFIX_BYTES];
        bytes[..4].copy_from_slice(&(payload.len() as u32).to_le_bytes());
        bytes[4..].copy_from_slice(&checksum(sequence, offset, payload).to_le_bytes());
        bytes
    }
}

/// Computes the CRC-32 of a payload, together with the sequence number of the segment and the
/// offset of the record in the segment.
pub(super) fn checksum(sequence: u64, offset: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
