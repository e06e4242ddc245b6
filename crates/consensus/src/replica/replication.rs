//! Replication from a leader to its followers. A follower is sent entries, or a snapshot if the
//! leader has compacted the entries.

use super::Replica;
use crate::log_position::LogPosition;
use crate::membership::ReplicaId;
use crate::message::{AppendEntriesRequest, InstallSnapshotRequest, MessageBody};
use crate::role::Role;
use crate::snapshot_transfer::SnapshotSender;

/// The largest total size of the entries in one message, unless a single entry is larger. The limit
/// keeps the delay of a heartbeat behind such a message short.
const MAX_ENTRIES_BYTES: usize = 256 << 10;

/// The handling of a request to a follower that lacks no entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EmptyRequest {
    /// A request without entries is sent as a heartbeat.
    Send,
    /// A request without entries is not sent.
    Skip,
}

impl Replica {
    /// Sends each follower the entries that it lacks.
    pub(super) fn replicate(&mut self) {
        for follower in self.followers() {
            self.send_entries(follower, EmptyRequest::Skip);
        }
        self.advance_commit_index();
    }

    /// Sends the entries that a follower lacks, or chunks of a snapshot if those entries are
    /// compacted.
    pub(super) fn send_entries(&mut self, follower: ReplicaId, empty: EmptyRequest) {
        let snapshot_index = self.log.snapshot().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let heartbeat_round = leader.rounds.latest_number();
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

    /// Sends the next chunks of the snapshot transfer to a follower. If no transfer is in progress,
    /// starts a transfer of the newest snapshot.
    pub(super) fn send_snapshot_chunks(&mut self, follower: ReplicaId) {
        let now = self.now;
        let newest_snapshot = self.log.shared_snapshot();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let heartbeat_round = leader.rounds.latest_number();
        let Some(progress) = leader.progress.get_mut(&follower) else {
            return;
        };
        let sender = progress
            .snapshot
            .get_or_insert_with(|| SnapshotSender::new(&newest_snapshot, now));
        for chunk in sender.next_chunks(now) {
            let request = InstallSnapshotRequest {
                chunk,
                heartbeat_round,
            };
            self.send(follower, MessageBody::InstallSnapshotRequest(request));
        }
    }
}
