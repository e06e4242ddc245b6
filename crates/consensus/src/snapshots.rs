//! Snapshots on their way from a leader to a follower, in pieces. A piece that is lost is sent again from where the follower
//! is; what a follower has received stays valid under another leader that sends the same snapshot.

use crate::log::Snapshot;
use nanoserde::{DeBin, SerBin};

/// Bytes of a piece, so that a heartbeat is not held up behind it for long, also on a link of one megabit a second.
const PIECE_BYTES: usize = 32 << 10;
/// Bytes that may be on their way at a time: a megabyte a second where a round trip takes 0.11 s.
const WINDOW_BYTES: usize = 4 * PIECE_BYTES;
/// Milliseconds without progress after which what is on its way counts as lost.
const RETRY: u64 = 1_000;
/// Bytes of a snapshot at most; a head that claims more is at fault.
const MOST_BYTES: u64 = 64 << 20;

/// Names a snapshot that is being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct SnapshotMeta {
    /// The last entry that it covers.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The bytes of its encoding.
    pub size: u64,
    /// A checksum of its encoding.
    pub checksum: u32,
}

impl SnapshotMeta {
    /// The name of a snapshot with this encoding.
    pub fn of(snapshot: &Snapshot, encoded: &[u8]) -> Self {
        Self {
            index: snapshot.index,
            term: snapshot.term,
            size: encoded.len() as u64,
            checksum: crc32fast::hash(encoded),
        }
    }
}

/// A piece of a snapshot's encoding.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct SnapshotChunk {
    /// The snapshot.
    pub head: SnapshotMeta,
    /// The position of the piece.
    pub offset: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// A snapshot as the leader sends it to one follower.
#[derive(Clone, Debug)]
pub struct OutgoingSnapshot {
    head: SnapshotMeta,
    encoded: Vec<u8>,
    acknowledged: usize,
    sent: usize,
    progressed: u64,
}

impl OutgoingSnapshot {
    /// Begins to send a snapshot, at a time.
    pub fn new(snapshot: &Snapshot, now: u64) -> Self {
        let encoded = snapshot.serialize_bin();
        let head = SnapshotMeta::of(snapshot, &encoded);
        Self {
            head,
            encoded,
            acknowledged: 0,
            sent: 0,
            progressed: now,
        }
    }

    /// The last entry that it covers.
    pub fn index(&self) -> u64 {
        self.head.index
    }

    /// The follower holds the encoding up to a position. One that has started again begins anew.
    pub fn acknowledge(&mut self, now: u64, received: u64) {
        let received = usize::try_from(received)
            .unwrap_or(usize::MAX)
            .min(self.encoded.len());
        if received == self.acknowledged {
            return;
        }
        let has_restarted = received < self.acknowledged;
        self.acknowledged = received;
        self.sent = if has_restarted {
            received
        } else {
            self.sent.max(received)
        };
        self.progressed = now;
    }

    /// The pieces to send now.
    pub fn next_pieces(&mut self, now: u64) -> Vec<SnapshotChunk> {
        if now >= self.progressed + RETRY {
            self.sent = self.acknowledged;
            self.progressed = now;
        }
        let mut pieces = Vec::new();
        while self.sent < self.encoded.len() && self.sent - self.acknowledged < WINDOW_BYTES {
            let end = self.encoded.len().min(self.sent + PIECE_BYTES);
            let bytes = self.encoded[self.sent..end].to_vec();
            pieces.push(SnapshotChunk {
                head: self.head,
                offset: self.sent as u64,
                bytes,
            });
            self.sent = end;
        }
        pieces
    }
}

/// A snapshot as a follower receives it.
#[derive(Clone, Debug)]
pub struct IncomingSnapshot {
    head: SnapshotMeta,
    encoded: Vec<u8>,
}

/// What a piece has brought.
#[derive(Debug, PartialEq, Eq)]
pub enum Received {
    /// The encoding is held up to this position.
    Part(u64),
    /// The snapshot is whole.
    Whole(Snapshot),
}

impl IncomingSnapshot {
    /// Takes a piece. A piece of another snapshot than the one that is under way replaces it where it is that one's first.
    pub fn receive(incoming: &mut Option<Self>, piece: SnapshotChunk) -> Received {
        let SnapshotChunk {
            head,
            offset,
            bytes,
        } = piece;
        let is_known = incoming
            .as_ref()
            .is_some_and(|incoming| incoming.head == head);
        if !is_known {
            if offset != 0 || head.size > MOST_BYTES {
                return Received::Part(0);
            }
            *incoming = Some(Self {
                head,
                encoded: Vec::new(),
            });
        }
        let Some(current) = incoming else {
            return Received::Part(0);
        };
        if offset == current.encoded.len() as u64 {
            current.encoded.extend_from_slice(&bytes);
        }
        if (current.encoded.len() as u64) < head.size {
            return Received::Part(current.encoded.len() as u64);
        }
        let snapshot = current.decode();
        *incoming = None;
        snapshot.map_or(Received::Part(0), Received::Whole)
    }

    fn decode(&self) -> Option<Snapshot> {
        if self.encoded.len() as u64 != self.head.size
            || crc32fast::hash(&self.encoded) != self.head.checksum
        {
            return None;
        }
        let snapshot = Snapshot::deserialize_bin(&self.encoded).ok()?;
        let is_named = (snapshot.index, snapshot.term) == (self.head.index, self.head.term);
        is_named.then_some(snapshot)
    }
}
