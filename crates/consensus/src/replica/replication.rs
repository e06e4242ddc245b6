//! Replication from a leader to its followers: entries, or a snapshot where they are compacted.

use super::Replica;
use crate::log_position::LogPosition;
use crate::membership::ReplicaId;
use crate::message::{AppendEntriesRequest, InstallSnapshotRequest, MessageBody};
use crate::role::Role;
use crate::snapshot_transfer::SnapshotSender;

/// Bytes of entries in one message, so that heartbeats are not delayed for long behind it.
const MAX_ENTRIES_BYTES: usize = 256 << 10;

/// Whether a request without entries is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EmptyRequest {
    /// It is sent, as a heartbeat.
    Send,
    /// It is not sent.
    Skip,
}

impl Replica {
    /// Sends new entries to the followers that lack them.
    pub(super) fn replicate(&mut self) {
        for follower in self.followers() {
            self.send_entries(follower, EmptyRequest::Skip);
        }
        self.advance_commit_index();
    }

    /// Sends the entries that a follower lacks, or chunks of a snapshot if they are compacted.
    pub(super) fn send_entries(&mut self, follower: ReplicaId, empty: EmptyRequest) {
        let snapshot_index = self.log.snapshot().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let heartbeat_round = leader.rounds.latest();
        let Some(progress) = leader.progress.get_mut(&follower) else {
            return;
        };
        let needs_snapshot = progress.next_index <= snapshot_index;
        let previous_index = progress.next_index.max(snapshot_index + 1) - 1;
        let entries = if needs_snapshot {
            Vec::new()
        } else {
            self.log
                .entries_from(progress.next_index, MAX_ENTRIES_BYTES)
        };
        progress.next_index += entries.len() as u64;
        if needs_snapshot {
            self.send_snapshot_chunks(follower);
        } else {
            progress.snapshot = None;
        }
        if entries.is_empty() && empty == EmptyRequest::Skip {
            return;
        }
        let Some(previous_term) = self.log.term_at(previous_index) else {
            return;
        };
        let request = AppendEntriesRequest {
            previous: LogPosition {
                index: previous_index,
                term: previous_term,
            },
            entries,
            leader_commit: self.commit_index,
            heartbeat_round,
        };
        self.send(follower, MessageBody::AppendEntriesRequest(request));
    }

    /// Sends the next chunks of the snapshot that a follower receives; begins with the newest one
    /// if there is no transfer.
    pub(super) fn send_snapshot_chunks(&mut self, follower: ReplicaId) {
        let now = self.now;
        let newest = self.log.shared_snapshot();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let heartbeat_round = leader.rounds.latest();
        let Some(progress) = leader.progress.get_mut(&follower) else {
            return;
        };
        let sender = progress
            .snapshot
            .get_or_insert_with(|| SnapshotSender::new(&newest, now));
        for chunk in sender.next_chunks(now) {
            let request = InstallSnapshotRequest {
                chunk,
                heartbeat_round,
            };
            self.send(follower, MessageBody::InstallSnapshotRequest(request));
        }
    }
}
