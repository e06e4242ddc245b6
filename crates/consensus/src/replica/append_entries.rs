//! Requests to append entries and their responses (Raft, section 5.3). A follower handles the
//! requests, and a leader handles the responses.

use super::Replica;
use super::replication::EmptyRequest;
use crate::entry::Entry;
use crate::log_position::LogPosition;
use crate::membership::ReplicaId;
use crate::message::{AppendEntriesRequest, AppendEntriesResponse, MessageBody};
use crate::role::Role;

impl Replica {
    /// Handles entries or a heartbeat from the leader. The entries are acknowledged once they are
    /// durable.
    pub(super) fn handle_append_entries_request(
        &mut self,
        from: ReplicaId,
        request: AppendEntriesRequest,
    ) {
        let AppendEntriesRequest {
            previous,
            entries,
            leader_commit,
            heartbeat_round,
        } = request;
        if !are_contiguous_after(previous, &entries) {
            return;
        }
        if !self.matches_at(previous) {
            self.reject_entries(from, previous, heartbeat_round);
            return;
        }
        let last_index = previous.index + entries.len() as u64;
        self.append_missing(entries);
        if leader_commit > self.commit_index {
            self.commit_index = leader_commit.min(last_index).max(self.commit_index);
            self.persist_and_apply_committed();
        }
        let durable_index = self.persistence.durable_index();
        if durable_index < last_index {
            // This response keeps the follower in contact with the leader if the follower's disk is
            // slow.
            let response = AppendEntriesResponse {
                success: true,
                last_index: durable_index,
                heartbeat_round,
            };
            self.send(from, MessageBody::AppendEntriesResponse(response));
        }
        let response = AppendEntriesResponse {
            success: true,
            last_index,
            heartbeat_round,
        };
        self.send_when_durable(from, MessageBody::AppendEntriesResponse(response));
    }

    /// Returns whether the log has the entry at a position, or a snapshot that covers the entry.
    fn matches_at(&self, position: LogPosition) -> bool {
        position.index < self.log.snapshot().index || self.log.contains(position)
    }

    /// Rejects entries. The response names the last index at which the log may match the leader's
    /// log, so that the leader retries from the index after it.
    fn reject_entries(&mut self, from: ReplicaId, previous: LogPosition, heartbeat_round: u64) {
        let before_previous = previous.index.saturating_sub(1);
        // A committed entry is in the log of every later leader, so the retry can begin after the
        // commit index.
        let last_index = self
            .log
            .last_index()
            .min(before_previous)
            .max(self.commit_index.min(before_previous));
        let response = AppendEntriesResponse {
            success: false,
            last_index,
            heartbeat_round,
        };
        self.send(from, MessageBody::AppendEntriesResponse(response));
    }

    /// Appends the entries from the first entry on that is not in the log. Entries that a snapshot
    /// covers are skipped.
    fn append_missing(&mut self, mut entries: Vec<Entry>) {
        let snapshot_index = self.log.snapshot().index;
        entries.retain(|entry| entry.index > snapshot_index);
        let present = entries
            .iter()
            .take_while(|entry| self.log.contains(entry.position()))
            .count();
        entries.drain(..present);
        self.append(entries);
    }

    /// Handles a follower's response to entries, to a heartbeat or to a complete snapshot.
    pub(super) fn handle_append_entries_response(
        &mut self,
        from: ReplicaId,
        response: AppendEntriesResponse,
    ) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.record_response(from, response.heartbeat_round);
        if !leader.progress.contains_key(&from) {
            return;
        }
        if response.success {
            self.handle_entries_accepted(from, response.last_index);
        } else {
            self.handle_entries_rejected(from, response.last_index);
        }
        self.confirm_reads();
    }

    fn handle_entries_accepted(&mut self, from: ReplicaId, index: u64) {
        let last_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.match_index = progress.match_index.max(index);
        progress.next_index = progress.next_index.max(progress.match_index + 1);
        let match_index = progress.match_index;
        if progress
            .snapshot
            .as_ref()
            .is_some_and(|snapshot| match_index >= snapshot.last_index())
        {
            progress.snapshot = None;
        }
        let has_unsent_entries = progress.next_index <= last_index;
        self.advance_commit_index();
        if has_unsent_entries {
            self.send_entries(from, EmptyRequest::Skip);
        }
    }

    fn handle_entries_rejected(&mut self, from: ReplicaId, index: u64) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        let next_index = index.max(progress.match_index) + 1;
        if next_index < progress.next_index {
            progress.next_index = next_index;
            self.send_entries(from, EmptyRequest::Skip);
        }
    }
}

/// Returns whether entries follow a position without a gap. A correct leader sends only contiguous
/// entries. A request with a gap is malformed and gets no response.
fn are_contiguous_after(previous: LogPosition, entries: &[Entry]) -> bool {
    let indices = entries.iter().map(|entry| Some(entry.index));
    let expected = (1..).map(|offset| previous.index.checked_add(offset));
    indices
        .zip(expected)
        .all(|(index, expected)| index == expected)
}
