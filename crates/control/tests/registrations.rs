//! Tests of the acknowledgement of drains and deregistrations, which requires a quorum with the
//! registration on disk.

mod support;

use rstest::rstest;
use support::*;
use woadstall_control::machine::{Action, CallResponse};
use woadstall_control::registry::UpstreamStatus;
use woadstall_control::wire::{CallId, Packet};

/// Returns whether a registration from another machine is acknowledged before it is on this
/// machine's disk, and whether it is acknowledged after that.
fn acknowledged_before_and_after_persisting(status: UpstreamStatus) -> (bool, bool) {
    let mut machine = follower();
    let call = CallId {
        incarnation: 5,
        number: 1,
    };
    let packet = Packet::Registrations {
        call,
        registrations: vec![registration(3, status)],
    };
    machine.receive_packet(1_100, &address(3), packet);
    let actions = machine.take_actions();
    let ack = Packet::RegistrationsAck { call };
    let before = sent_to(&actions, 3).contains(&ack);
    for action in actions {
        if let Action::PersistRegistrations { number } = action {
            machine.registrations_persisted(1_105, number);
        }
    }
    (
        before,
        before || sent_to(&machine.take_actions(), 3).contains(&ack),
    )
}

#[rstest]
#[case::own_call(INCARNATION, true)]
#[case::a_call_of_an_earlier_process(EARLIER_INCARNATION, false)]
fn a_deregistration_is_acknowledged_only_by_replies_to_this_process(
    #[case] incarnation: u64,
    #[case] completes: bool,
) {
    let mut machine = follower();
    machine.deregister(1_010, TOKEN, "i-1");
    let actions = persist_all(&mut machine, 1_010);
    assert!(
        responses(&actions).is_empty(),
        "only one machine of three has the deregistration on disk"
    );
    let packets = sent_to(&actions, 3);
    let Some(Packet::Registrations { call, .. }) = packets.first() else {
        panic!("{packets:?}")
    };
    let call = CallId {
        incarnation,
        ..*call
    };
    machine.receive_packet(1_100, &address(3), Packet::RegistrationsAck { call });
    let expected: &[&CallResponse] = if completes {
        &[&CallResponse::Acknowledged]
    } else {
        &[]
    };
    assert_eq!(responses(&persist_all(&mut machine, 1_100)), expected);
}

#[rstest]
#[case::ready(UpstreamStatus::Ready, (true, true))]
#[case::draining(UpstreamStatus::Draining, (false, true))]
#[case::deregistered(UpstreamStatus::Deregistered, (false, true))]
fn a_termination_is_acknowledged_to_peers_after_it_is_written_to_disk(
    #[case] status: UpstreamStatus,
    #[case] expected: (bool, bool),
) {
    assert_eq!(acknowledged_before_and_after_persisting(status), expected);
}

#[test]
fn the_local_disk_counts_only_after_the_deregistration_is_written() {
    let mut machine = follower();
    machine.deregister(1_010, TOKEN, "i-1");
    let actions = machine.take_actions();
    let request = actions.iter().find_map(|action| match action {
        Action::PersistRegistrations { number } => Some(*number),
        _ => None,
    });
    let packets = sent_to(&actions, 3);
    let Some(Packet::Registrations { call, .. }) = packets.first() else {
        panic!("{packets:?}")
    };
    machine.receive_packet(1_100, &address(3), Packet::RegistrationsAck { call: *call });
    assert!(
        responses(&machine.take_actions()).is_empty(),
        "only one machine of three has the deregistration on disk"
    );
    machine.registrations_persisted(1_200, request.unwrap());
    assert_eq!(
        responses(&machine.take_actions()),
        [&CallResponse::Acknowledged]
    );
}
