//! The sending side of a snapshot transfer, on a leader.

use crate::config::Milliseconds;
use crate::log_position::LogIndex;
use crate::snapshot::{Snapshot, SnapshotChunk, SnapshotMeta};
use nanoserde::SerBin;

/// The size of a chunk. A chunk delays a heartbeat behind it only briefly, even at 1 Mbit/s.
const CHUNK_BYTES: usize = 32 << 10;
/// The largest number of unacknowledged bytes. It allows 1 MB/s at a round-trip time of 0.11 s.
const WINDOW_BYTES: usize = 4 * CHUNK_BYTES;
/// The time without progress after which the unacknowledged chunks count as lost.
const RETRANSMIT_TIMEOUT: Milliseconds = 1_000;

/// The transfer of a snapshot from the leader to one follower.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotSender {
    meta: SnapshotMeta,
    encoded: Vec<u8>,
    acknowledged_bytes: usize,
    sent_bytes: usize,
    last_progress: Milliseconds,
}

impl SnapshotSender {
    /// Starts the transfer of a snapshot.
    pub fn new(snapshot: &Snapshot, now: Milliseconds) -> Self {
        let encoded = snapshot.serialize_bin();
        let meta = SnapshotMeta::of(snapshot, &encoded);
        Self {
            meta,
            encoded,
            acknowledged_bytes: 0,
            sent_bytes: 0,
            last_progress: now,
        }
    }

    /// Returns the index of the last entry that the snapshot covers.
    pub fn last_index(&self) -> LogIndex {
        self.meta.last_log.index
    }

    /// Records the length of the prefix that the follower has received. The length is 0 again after
    /// the follower has restarted.
    pub fn acknowledge(&mut self, now: Milliseconds, received_bytes: u64) {
        let received = usize::try_from(received_bytes).unwrap_or(usize::MAX);
        let received = received.min(self.encoded.len());
        if received == self.acknowledged_bytes {
            return;
        }
        let has_restarted = received < self.acknowledged_bytes;
        self.acknowledged_bytes = received;
        self.sent_bytes = if has_restarted {
            received
        } else {
            self.sent_bytes.max(received)
        };
        self.last_progress = now;
    }

    /// Returns the chunks to send now, up to a full window. After [`RETRANSMIT_TIMEOUT`] without
    /// progress, the chunks begin again at the acknowledged offset.
    pub fn next_chunks(&mut self, now: Milliseconds) -> Vec<SnapshotChunk> {
        if now >= self.last_progress + RETRANSMIT_TIMEOUT {
            self.sent_bytes = self.acknowledged_bytes;
            self.last_progress = now;
        }
        let mut chunks = Vec::new();
        while self.has_unsent_bytes() && self.sent_bytes - self.acknowledged_bytes < WINDOW_BYTES {
            let end = self.encoded.len().min(self.sent_bytes + CHUNK_BYTES);
            let bytes = self.encoded[self.sent_bytes..end].to_vec();
            chunks.push(SnapshotChunk {
                meta: self.meta,
                offset: self.sent_bytes as u64,
                bytes,
            });
            self.sent_bytes = end;
        }
        chunks
    }

    fn has_unsent_bytes(&self) -> bool {
        self.sent_bytes < self.encoded.len()
    }
}
