//! The installation of snapshots that arrive in a single chunk.

use super::builders::{append_entries, flush, message, replica};
use nanoserde::SerBin;
use woadstall_consensus::{
    InstallSnapshotRequest, MessageBody, Snapshot, SnapshotChunk, SnapshotMeta,
};

/// Creates a request that sends a complete snapshot in a single chunk.
fn install_snapshot(snapshot: &Snapshot, heartbeat_round: u64) -> MessageBody {
    let bytes = snapshot.serialize_bin();
    let meta = SnapshotMeta::of(snapshot, &bytes);
    MessageBody::InstallSnapshotRequest(InstallSnapshotRequest {
        chunk: SnapshotChunk {
            meta,
            offset: 0,
            bytes,
        },
        heartbeat_round,
    })
}

#[test]
fn an_old_snapshot_is_ignored_and_a_new_one_replaces_conflicting_entries() {
    let membership = replica().membership().clone();
    let snapshot = |index, term| Snapshot {
        index,
        term,
        membership: membership.clone(),
        state: vec![1],
    };
    let mut replica = replica();
    replica.handle_message(10, append_entries((4, 4), Vec::new(), 3));
    flush(&mut replica);
    replica.handle_message(20, message(2, 5, install_snapshot(&snapshot(2, 2), 8)));
    flush(&mut replica);
    assert_eq!((replica.commit_index(), replica.log().last_index()), (3, 4));
    replica.handle_message(30, message(2, 5, install_snapshot(&snapshot(4, 5), 9)));
    flush(&mut replica);
    assert_eq!(
        (
            replica.commit_index(),
            replica.log().last_index(),
            replica.log().last_term()
        ),
        (4, 4, 5)
    );
    assert!(replica.log().entries().is_empty());
}

#[test]
fn entries_after_a_conflicting_snapshot_are_removed() {
    let membership = replica().membership().clone();
    let mut replica = replica();
    let snapshot = Snapshot {
        index: 3,
        term: 5,
        membership,
        state: vec![1],
    };
    replica.handle_message(10, message(2, 5, install_snapshot(&snapshot, 8)));
    flush(&mut replica);
    assert_eq!(
        (replica.log().last_index(), replica.log().last_term()),
        (3, 5)
    );
}
