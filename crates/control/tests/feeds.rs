//! Tests of the change feeds for balancers.

mod support;

use nanoserde::SerBin;
use support::*;
use woadstall_consensus::{
    InstallSnapshotRequest, MessageBody, Snapshot, SnapshotChunk, SnapshotMeta,
};
use woadstall_control::machine::Action;
use woadstall_control::state::ControlState;
use woadstall_control::wire::{Packet, SubscribeRequest};

#[test]
fn a_balancer_that_reconnects_after_a_restored_snapshot_gets_a_snapshot() {
    let mut machine = machine();
    let subscribe = |epoch, offset| SubscribeRequest {
        balancer: "front".to_owned(),
        epoch,
        offset,
        applied_index: 0,
    };
    machine.subscribe(1_000, 1, subscribe(0, 0));
    machine.subscribe(1_000, 2, subscribe(0, 0));
    machine.tick(1_050);
    let first = machine
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            Action::Deliver {
                subscribers,
                packet: Packet::Snapshot { epoch, offset, .. },
            } => Some((subscribers, epoch, offset)),
            _ => None,
        });
    let (subscribers, epoch, offset) = first.expect("new subscribers get a snapshot");
    assert_eq!(subscribers, [1, 2], "one shared snapshot");
    machine.unsubscribe(1);
    // The machine itself falls far behind and installs a snapshot of the log.
    let mut state = ControlState::default();
    state.apply(500, &evacuate());
    let members = machine.replica().membership().clone();
    let snapshot = Snapshot {
        index: 500,
        term: 3,
        membership: members,
        state: state.encode(),
    };
    let bytes = snapshot.serialize_bin();
    let meta = SnapshotMeta::of(&snapshot, &bytes);
    let chunk = SnapshotChunk {
        meta,
        offset: 0,
        bytes,
    };
    let install = MessageBody::InstallSnapshotRequest(InstallSnapshotRequest {
        chunk,
        heartbeat_round: 1,
    });
    machine.receive_packet(1_100, &address(2), consensus(2, TERM, install));
    machine.take_actions();
    machine.subscribe(1_200, 3, subscribe(epoch, offset));
    machine.tick(1_250);
    let delivered = machine
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            Action::Deliver { packet, .. } => Some(packet),
            _ => None,
        });
    assert!(
        matches!(&delivered, Some(Packet::Snapshot { state, .. }) if !state.is_empty()),
        "{delivered:?}"
    );
}
