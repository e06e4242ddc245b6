//! Tests of linearizable reads of the configuration by ReadIndex.

mod support;

use nanoserde::SerBin;
use rstest::rstest;
use support::*;
use woadstall_consensus::{AppendEntriesRequest, Entry, EntryPayload, MessageBody};
use woadstall_control::command::Command;
use woadstall_control::machine::{CallResponse, ControlMachine};
use woadstall_control::wire::{CallId, Packet};

/// Returns machine 1 as a follower of machine 2 with a configuration at log index 3.
fn follower_with_configuration() -> ControlMachine {
    let mut machine = follower();
    let body = br#"{"generation":5,"services":[],"routes":[]}"#.to_vec();
    let command = Command::Put { base: 0, body }.serialize_bin();
    let entries = vec![
        Entry {
            index: 2,
            term: TERM,
            payload: EntryPayload::Blank,
        },
        Entry {
            index: 3,
            term: TERM,
            payload: EntryPayload::Command(command),
        },
    ];
    let body = MessageBody::AppendEntriesRequest(AppendEntriesRequest {
        previous: FOUNDING_POSITION,
        entries,
        leader_commit: 3,
        heartbeat_round: 2,
    });
    let append = consensus_at(LEADER_CLOCK + 5, 2, TERM, body);
    machine.receive_packet(1_005, &address(2), append);
    persist_all(&mut machine, 1_005);
    assert_eq!(machine.state().generation(), 5);
    machine
}

#[rstest]
#[case::own_call(INCARNATION, true)]
#[case::a_call_of_an_earlier_process(EARLIER_INCARNATION, false)]
fn a_read_index_reply_completes_only_a_read_of_this_process(
    #[case] incarnation: u64,
    #[case] completes: bool,
) {
    let mut machine = follower();
    machine.read_configuration(1_010, TOKEN);
    let packets = sent_to(&persist_all(&mut machine, 1_010), 2);
    let Some(Packet::ReadIndexRequest { call }) = packets.first() else {
        panic!("{packets:?}")
    };
    let call = CallId {
        incarnation,
        ..*call
    };
    machine.receive_packet(
        1_100,
        &address(2),
        Packet::ReadIndexReply {
            call,
            index: Some(1),
        },
    );
    let actions = persist_all(&mut machine, 1_100);
    // The response is indeterminate because there is no configuration yet.
    let expected: &[&CallResponse] = if completes {
        &[&CallResponse::Indeterminate]
    } else {
        &[]
    };
    assert_eq!(responses(&actions), expected);
}

#[rstest]
#[case::confirmed_and_applied(Some(3), true)]
#[case::confirmed_and_not_applied_yet(Some(4), false)]
#[case::not_confirmed(None, false)]
fn a_read_completes_once_its_read_index_is_applied(
    #[case] index: Option<u64>,
    #[case] completes: bool,
) {
    let mut machine = follower_with_configuration();
    machine.read_configuration(1_010, TOKEN);
    let packets = sent_to(&persist_all(&mut machine, 1_010), 2);
    let Some(Packet::ReadIndexRequest { call }) = packets.first() else {
        panic!("{packets:?}")
    };
    machine.receive_packet(
        1_100,
        &address(2),
        Packet::ReadIndexReply { call: *call, index },
    );
    let actions = persist_all(&mut machine, 1_100);
    assert_eq!(
        matches!(responses(&actions)[..], [CallResponse::Document(_)]),
        completes,
        "{actions:?}"
    );
    machine.tick(1_910);
    let overdue = persist_all(&mut machine, 1_910);
    assert_eq!(
        responses(&overdue) == [&CallResponse::Indeterminate],
        !completes,
        "{overdue:?}"
    );
}

#[test]
fn a_read_at_the_leader_waits_for_uncommitted_commands() {
    let mut machine = leader();
    let term = machine.replica().term();
    machine.submit_command(
        1_100,
        TOKEN,
        Command::Evacuate {
            zone: "z".to_owned(),
        },
    );
    persist_all(&mut machine, 1_100);
    machine.read_configuration(1_110, TOKEN + 1);
    persist_all(&mut machine, 1_110);
    // Machine 2 confirms the leader but has not written the command to disk yet.
    let reply = |last_index| consensus(2, term, append_response(last_index, 9));
    machine.receive_packet(1_200, &address(2), reply(2));
    let actions = persist_all(&mut machine, 1_200);
    assert!(
        responses(&actions).is_empty(),
        "the command may still be committed: {actions:?}"
    );
    machine.receive_packet(1_300, &address(2), reply(3));
    let actions = persist_all(&mut machine, 1_300);
    assert_eq!(
        responses(&actions).len(),
        2,
        "the command is committed, and the read shows it: {actions:?}"
    );
}
