//! Tests of operators' commands: forwarding, proposing and completing them.

mod support;

use nanoserde::SerBin;
use rstest::rstest;
use support::*;
use woadstall_consensus::{Entry, EntryPayload, LogPosition};
use woadstall_control::command::{Command, CommandOutcome};
use woadstall_control::machine::CallResponse;
use woadstall_control::wire::{CallId, LeaderTime, Packet};

/// Returns the call and the expiry time of the first forwarded command in `packets`.
fn forwarded_command(packets: &[Packet]) -> Option<(CallId, LeaderTime)> {
    packets.iter().find_map(|packet| match packet {
        Packet::ForwardedCommand { call, expires, .. } => Some((*call, *expires)),
        _ => None,
    })
}

#[rstest]
#[case::own_call(INCARNATION, 0, true)]
#[case::a_call_of_an_earlier_process(EARLIER_INCARNATION, 0, false)]
#[case::another_call(INCARNATION, 1, false)]
fn a_reply_completes_only_a_call_of_this_process(
    #[case] incarnation: u64,
    #[case] number_offset: u64,
    #[case] is_accepted: bool,
) {
    let mut machine = follower();
    machine.submit_command(1_010, TOKEN, evacuate());
    let (call, _) = forwarded_command(&sent_to(&persist_all(&mut machine, 1_010), 2)).unwrap();
    assert_eq!(call.incarnation, INCARNATION);
    let call = CallId {
        incarnation,
        number: call.number + number_offset,
    };
    machine.receive_packet(
        1_100,
        &address(2),
        Packet::ForwardedCommandReply {
            call,
            outcome: Some(CommandOutcome::Accepted),
        },
    );
    assert_eq!(
        !responses(&persist_all(&mut machine, 1_100)).is_empty(),
        is_accepted
    );
}

#[test]
fn a_forwarded_command_expires_by_the_leaders_clock() {
    let mut machine = follower();
    machine.submit_command(1_400, TOKEN, evacuate());
    let (_, expires) = forwarded_command(&sent_to(&persist_all(&mut machine, 1_400), 2)).unwrap();
    assert_eq!(
        expires,
        LeaderTime {
            term: TERM,
            at: LEADER_CLOCK + 400 + 900
        }
    );
}

#[test]
fn a_delayed_message_does_not_set_the_leaders_clock_back() {
    let mut machine = follower();
    // The leader's clock in this message is out of date, because the message was delayed.
    receive_from_leader(&mut machine, 1_390, LEADER_CLOCK + 20);
    machine.submit_command(1_400, TOKEN, evacuate());
    let (_, expires) = forwarded_command(&sent_to(&persist_all(&mut machine, 1_400), 2)).unwrap();
    assert_eq!(expires.at, LEADER_CLOCK + 400 + 900);
}

#[rstest]
#[case::before_expiry(0, 0, true)]
#[case::at_expiry(0, 500, true)]
#[case::after_expiry(0, 501, false)]
#[case::of_an_earlier_term(-1, 0, false)]
#[case::of_a_later_term(1, 0, false)]
fn a_forwarded_command_is_proposed_only_before_its_expiry_by_the_leader_of_its_term(
    #[case] term_offset: i64,
    #[case] delay_ms: u64,
    #[case] is_accepted: bool,
) {
    let mut machine = leader();
    let own = machine.replica().term();
    let expires = LeaderTime {
        term: own.checked_add_signed(term_offset).unwrap(),
        at: 1_600,
    };
    let call = CallId {
        incarnation: 5,
        number: 1,
    };
    let now = 1_100 + delay_ms;
    let before = machine.replica().log().last_index();
    machine.receive_packet(
        now,
        &address(3),
        Packet::ForwardedCommand {
            call,
            expires,
            command: evacuate(),
        },
    );
    let actions = persist_all(&mut machine, now);
    assert_eq!(machine.replica().log().last_index() > before, is_accepted);
    let is_rejected = sent_to(&actions, 3).contains(&Packet::ForwardedCommandReply {
        call,
        outcome: None,
    });
    assert_eq!(is_rejected, !is_accepted);
}

#[test]
fn a_command_that_has_timed_out_is_not_forwarded() {
    let mut machine = machine();
    machine.submit_command(100, TOKEN, evacuate());
    persist_all(&mut machine, 100);
    // The process was paused past the deadline of the command. The first packet after the pause is
    // from a leader.
    receive_from_leader(&mut machine, 5_000, LEADER_CLOCK);
    machine.tick(5_010);
    let actions = persist_all(&mut machine, 5_010);
    assert_eq!(forwarded_command(&sent_to(&actions, 2)), None);
    assert_eq!(responses(&actions), [&CallResponse::Indeterminate]);
}

#[test]
fn a_pending_command_is_forwarded_to_the_next_leader() {
    let mut machine = follower();
    machine.submit_command(1_010, TOKEN, evacuate());
    persist_all(&mut machine, 1_010);
    let append = consensus_at(7_000, 3, TERM + 1, empty_append());
    machine.receive_packet(1_300, &address(3), append);
    persist_all(&mut machine, 1_300);
    machine.tick(1_350);
    let (_, expires) = forwarded_command(&sent_to(&persist_all(&mut machine, 1_350), 3)).unwrap();
    assert_eq!(
        expires,
        LeaderTime {
            term: TERM + 1,
            at: 7_000 + (1_910 - 1_300)
        }
    );
}

#[test]
fn a_command_is_forwarded_again_over_a_new_connection_to_the_leader() {
    let mut machine = follower();
    machine.submit_command(1_010, TOKEN, evacuate());
    let first = forwarded_command(&sent_to(&persist_all(&mut machine, 1_010), 2));
    machine.tick(1_050);
    assert_eq!(
        forwarded_command(&sent_to(&persist_all(&mut machine, 1_050), 2)),
        None,
        "sent only once over the same connection"
    );
    machine.link_up(1_100, &address(2));
    assert_eq!(
        forwarded_command(&sent_to(&persist_all(&mut machine, 1_100), 2)),
        first
    );
}

#[test]
fn a_proposal_is_indeterminate_when_another_entry_has_its_index() {
    let mut machine = leader();
    let term = machine.replica().term();
    machine.submit_command(1_100, TOKEN, evacuate());
    persist_all(&mut machine, 1_100);
    // The next leader did not receive the command and has another entry at its log index.
    let command = Command::Evacuate {
        zone: "other".to_owned(),
    }
    .serialize_bin();
    let entries = vec![Entry {
        index: 3,
        term: term + 1,
        payload: EntryPayload::Command(command),
    }];
    let body = append_entries(LogPosition { index: 2, term }, entries, 3);
    machine.receive_packet(1_200, &address(3), consensus(3, term + 1, body));
    let mut actions = persist_all(&mut machine, 1_200);
    machine.tick(1_250);
    actions.extend(persist_all(&mut machine, 1_250));
    assert!(machine.state().evacuated_zones.contains("other"));
    assert_eq!(responses(&actions), [&CallResponse::Indeterminate]);
}

#[test]
fn a_duplicate_change_waits_for_the_existing_entry() {
    let mut machine = leader();
    let put = |generation: u64| {
        let body =
            format!("{{\"generation\":{generation},\"services\":[],\"routes\":[]}}").into_bytes();
        Command::Put { base: 0, body }
    };
    machine.submit_command(1_100, 1, put(5));
    machine.submit_command(1_110, 2, put(5));
    machine.submit_command(1_120, 3, put(6));
    persist_all(&mut machine, 1_120);
    assert_eq!(
        machine.replica().log().last_index(),
        4,
        "two entries for three calls"
    );
    let reply = append_response(4, 9);
    machine.receive_packet(
        1_200,
        &address(2),
        consensus(2, machine.replica().term(), reply),
    );
    let actions = persist_all(&mut machine, 1_200);
    assert_eq!(
        responses(&actions),
        [
            &CallResponse::Acknowledged,
            &CallResponse::Acknowledged,
            &CallResponse::Conflict { current: 5 }
        ]
    );
}

#[test]
fn evacuations_are_applied_in_the_order_of_submission() {
    let mut machine = leader();
    let zone = || "z".to_owned();
    machine.submit_command(1_100, 1, Command::Evacuate { zone: zone() });
    machine.submit_command(1_110, 2, Command::EndEvacuation { zone: zone() });
    machine.submit_command(1_120, 3, Command::Evacuate { zone: zone() });
    persist_all(&mut machine, 1_120);
    let reply = append_response(5, 9);
    machine.receive_packet(
        1_200,
        &address(2),
        consensus(2, machine.replica().term(), reply),
    );
    persist_all(&mut machine, 1_200);
    assert!(
        machine.state().evacuated_zones.contains("z"),
        "the third command is not treated as a retry of the first one"
    );
}
