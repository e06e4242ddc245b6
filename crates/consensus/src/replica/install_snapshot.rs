//! Requests to install a chunk of a snapshot, and their responses (Raft, section 7). A follower
//! handles the requests, and a leader handles the responses.

use super::Replica;
use crate::durable_state::Record;
use crate::membership::ReplicaId;
use crate::message::{
    AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse, MessageBody,
};
use crate::output::Output;
use crate::role::Role;
use crate::snapshot::Snapshot;
use crate::snapshot_transfer::{ChunkOutcome, SnapshotReceiver};

impl Replica {
    /// Handles a chunk of a snapshot. A complete snapshot is acknowledged by a response to
    /// appended entries, once the snapshot is durable.
    pub(super) fn handle_install_snapshot_request(
        &mut self,
        from: ReplicaId,
        request: InstallSnapshotRequest,
    ) {
        let InstallSnapshotRequest {
            chunk,
            heartbeat_round,
        } = request;
        let meta = chunk.meta;
        if meta.last_log.index > self.commit_index {
            match SnapshotReceiver::receive(&mut self.incoming_snapshot, chunk) {
                ChunkOutcome::Complete(snapshot) => self.install_snapshot(snapshot),
                ChunkOutcome::Incomplete { received_bytes } => {
                    let response = InstallSnapshotResponse {
                        meta,
                        received_bytes,
                        heartbeat_round,
                    };
                    self.send(from, MessageBody::InstallSnapshotResponse(response));
                    return;
                }
            }
        }
        let response = AppendEntriesResponse {
            success: true,
            last_index: meta.last_log.index,
            heartbeat_round,
        };
        self.send_when_durable(from, MessageBody::AppendEntriesResponse(response));
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        self.log.install(snapshot.clone());
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        self.persistence.expect_snapshot(snapshot.position());
        self.persist(Record::InstallSnapshot(snapshot.clone()));
        self.outputs.push_back(Output::Restore(snapshot));
    }

    /// Handles a follower's response to a chunk: sends the next chunks.
    pub(super) fn handle_install_snapshot_response(
        &mut self,
        from: ReplicaId,
        response: InstallSnapshotResponse,
    ) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.record_response(from, response.heartbeat_round);
        let progress = leader.progress.get_mut(&from);
        let Some(sender) = progress.and_then(|progress| progress.snapshot.as_mut()) else {
            return;
        };
        sender.acknowledge(now, response.received_bytes);
        self.send_snapshot_chunks(from);
        self.confirm_reads();
    }
}
