//! The receiving side of a snapshot transfer, on a follower.

use crate::snapshot::{Snapshot, SnapshotChunk, SnapshotMeta};
use nanoserde::DeBin;

/// The largest encoding that a follower accepts. Metadata that names a larger size is invalid.
const MAX_SNAPSHOT_BYTES: u64 = 64 << 20;

/// The received prefix of a snapshot's encoding.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotReceiver {
    meta: SnapshotMeta,
    encoded: Vec<u8>,
}

/// The state of a transfer after a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChunkOutcome {
    /// More chunks are needed.
    Incomplete {
        /// The length of the received prefix of the snapshot's encoding.
        received_bytes: u64,
    },
    /// The snapshot is complete, and its checksum matches.
    Complete(Snapshot),
}

impl SnapshotReceiver {
    /// Adds a chunk to the current transfer. The first chunk of another snapshot starts a new
    /// transfer, which replaces the current transfer.
    pub fn receive(current: &mut Option<Self>, chunk: SnapshotChunk) -> ChunkOutcome {
        const NOTHING_RECEIVED: ChunkOutcome = ChunkOutcome::Incomplete { received_bytes: 0 };
        let SnapshotChunk {
            meta,
            offset,
            bytes,
        } = chunk;
        let is_current = current
            .as_ref()
            .is_some_and(|receiver| receiver.meta == meta);
        if !is_current {
            if offset != 0 || meta.size > MAX_SNAPSHOT_BYTES {
                return NOTHING_RECEIVED;
            }
            *current = Some(Self {
                meta,
                encoded: Vec::new(),
            });
        }
        let Some(receiver) = current else {
            return NOTHING_RECEIVED;
        };
        if offset == receiver.received_bytes() {
            receiver.encoded.extend_from_slice(&bytes);
        }
        if receiver.received_bytes() < meta.size {
            return ChunkOutcome::Incomplete {
                received_bytes: receiver.received_bytes(),
            };
        }
        let snapshot = receiver.decode();
        *current = None;
        snapshot.map_or(NOTHING_RECEIVED, ChunkOutcome::Complete)
    }

    fn received_bytes(&self) -> u64 {
        self.encoded.len() as u64
    }

    /// Decodes the complete snapshot. Returns `None` if the encoding does not match the metadata.
    fn decode(&self) -> Option<Snapshot> {
        let is_intact = self.received_bytes() == self.meta.size
            && crc32fast::hash(&self.encoded) == self.meta.checksum;
        if !is_intact {
            return None;
        }
        let snapshot = Snapshot::deserialize_bin(&self.encoded).ok()?;
        (snapshot.position() == self.meta.last_log).then_some(snapshot)
    }
}
