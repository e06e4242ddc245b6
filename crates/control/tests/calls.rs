//! Calls between control machines: one answer or one order at a time reaches a machine, changed in one thing.

mod upstreams;

use rstest::rstest;
use upstreams::registration;
use woadstall_consensus::{DurableState, Member, Message, MessageBody, Snapshot};
use woadstall_control::command::{Command, CommandOutcome};
use woadstall_control::machine::{
    Action, CallResponse, ControlMachine, MachineSettings, founding_snapshot,
};
use woadstall_control::registry::UpstreamStatus;
use woadstall_control::wire::{CallId, LeaderTime, MachineInfo, Packet};

const INCARNATION: u64 = 77;
const FORMER: u64 = 76;
const TERM: u64 = 4;
/// The leader's clock when this machine's is 1,000.
const LEADER_CLOCK: u64 = 50_000;
const TOKEN: u64 = 9;

fn address(id: u64) -> String {
    format!("10.0.0.{id}:7720")
}

fn members() -> Vec<Member> {
    (1..=3)
        .map(|id| Member {
            id,
            address: address(id),
        })
        .collect()
}

/// ControlMachine 1 of three.
fn machine() -> ControlMachine {
    let settings = MachineSettings {
        machine: MachineInfo {
            member: members()[0].clone(),
            zone: "zone-1".to_owned(),
            region: "region-1".to_owned(),
            control: String::new(),
        },
        seeds: (1..=3).map(address).collect(),
        zones: [("zone-1".to_owned(), "region-1".to_owned())].into(),
        heartbeat_ms: 1_200,
        tolerated: 1,
        incarnation: INCARNATION,
    };
    let mut machine = ControlMachine::new(
        settings,
        DurableState::new(1, founding_snapshot(&members())),
        0,
        1,
    );
    machine.take_actions();
    machine
}

/// ControlMachine 1, which follows machine 2.
fn follower() -> ControlMachine {
    let mut machine = machine();
    hear_leader(&mut machine, 1_000, LEADER_CLOCK);
    machine
}

fn hear_leader(machine: &mut ControlMachine, now: u64, clock: u64) {
    let body = MessageBody::Append {
        previous_index: 1,
        previous_term: 1,
        entries: Vec::new(),
        commit: 1,
        round: 1,
    };
    let message = Message {
        from: 2,
        to: 1,
        term: TERM,
        body,
    };
    machine.receive_packet(now, &address(2), Packet::Consensus { message, clock });
    settled(machine, now);
}

/// ControlMachine 1 as the leader of a term, with its first entry committed.
fn leader() -> ControlMachine {
    let mut machine = machine();
    let consensus = |body| Packet::Consensus {
        message: Message {
            from: 2,
            to: 1,
            term: TERM,
            body,
        },
        clock: 0,
    };
    machine.receive_packet(1_000, &address(2), consensus(MessageBody::Elect));
    settled(&mut machine, 1_000);
    let term = machine.replica().term();
    let vote = Message {
        from: 2,
        to: 1,
        term,
        body: MessageBody::VoteReply {
            pre: false,
            granted: true,
        },
    };
    machine.receive_packet(
        1_010,
        &address(2),
        Packet::Consensus {
            message: vote,
            clock: 0,
        },
    );
    settled(&mut machine, 1_010);
    let reply = Message {
        from: 2,
        to: 1,
        term,
        body: MessageBody::AppendReply {
            success: true,
            index: 2,
            round: 1,
        },
    };
    machine.receive_packet(
        1_020,
        &address(2),
        Packet::Consensus {
            message: reply,
            clock: 0,
        },
    );
    settled(&mut machine, 1_020);
    assert!(machine.replica().is_leader() && machine.replica().commit_index() == 2);
    machine
}

/// Makes everything durable, and gives what else is to be done.
fn settled(machine: &mut ControlMachine, now: u64) -> Vec<Action> {
    let mut all = Vec::new();
    loop {
        let actions = machine.take_actions();
        if actions.is_empty() {
            return all;
        }
        for action in actions {
            match action {
                Action::Persist { sequence, .. } => machine.persisted(now, sequence),
                Action::PersistRegistrations { number } => {
                    machine.registrations_persisted(now, number)
                }
                other => all.push(other),
            }
        }
    }
}

fn answers(actions: &[Action]) -> Vec<&CallResponse> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Respond { response, .. } => Some(response),
            _ => None,
        })
        .collect()
}

/// The packets to a machine.
fn sent_to(actions: &[Action], id: u64) -> Vec<Packet> {
    let to = address(id);
    let packet = |action: &Action| match action {
        Action::Send { address, packet } if *address == to => Some(packet.clone()),
        _ => None,
    };
    actions.iter().filter_map(packet).collect()
}

fn evacuate() -> Command {
    Command::Evacuate {
        zone: "z".to_owned(),
    }
}

fn order_of(packets: &[Packet]) -> Option<(CallId, LeaderTime)> {
    packets.iter().find_map(|packet| match packet {
        Packet::ForwardedCommand { call, expires, .. } => Some((*call, *expires)),
        _ => None,
    })
}

#[rstest]
#[case::its_own_call(INCARNATION, 0, true)]
#[case::a_call_of_a_former_process(FORMER, 0, false)]
#[case::another_call(INCARNATION, 1, false)]
fn an_answer_is_taken_only_by_the_call_of_this_process(
    #[case] incarnation: u64,
    #[case] more: u64,
    #[case] taken: bool,
) {
    let mut machine = follower();
    machine.submit_command(1_010, TOKEN, evacuate());
    let (call, _) = order_of(&sent_to(&settled(&mut machine, 1_010), 2)).unwrap();
    assert_eq!(call.incarnation, INCARNATION);
    let call = CallId {
        incarnation,
        number: call.number + more,
    };
    machine.receive_packet(
        1_100,
        &address(2),
        Packet::ForwardedCommandReply {
            call,
            outcome: Some(CommandOutcome::Accepted),
        },
    );
    assert_eq!(!answers(&settled(&mut machine, 1_100)).is_empty(), taken);
}

#[rstest]
#[case::its_own_call(INCARNATION, true)]
#[case::a_call_of_a_former_process(FORMER, false)]
fn a_read_is_confirmed_only_for_this_process(#[case] incarnation: u64, #[case] taken: bool) {
    let mut machine = follower();
    machine.read_configuration(1_010, TOKEN);
    let packets = sent_to(&settled(&mut machine, 1_010), 2);
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
    let actions = settled(&mut machine, 1_100);
    // There is no configuration yet: nobody can tell it, which is no refusal.
    let expected: &[&CallResponse] = if taken {
        &[&CallResponse::Indeterminate]
    } else {
        &[]
    };
    assert_eq!(answers(&actions), expected);
}

#[rstest]
#[case::its_own_call(INCARNATION, true)]
#[case::a_call_of_a_former_process(FORMER, false)]
fn a_leaving_upstream_is_acknowledged_only_by_answers_to_this_process(
    #[case] incarnation: u64,
    #[case] taken: bool,
) {
    let mut machine = follower();
    machine.deregister(1_010, TOKEN, "i-1");
    let actions = settled(&mut machine, 1_010);
    assert!(answers(&actions).is_empty(), "one machine of three");
    let packets = sent_to(&actions, 3);
    let Some(Packet::Registrations { call, .. }) = packets.first() else {
        panic!("{packets:?}")
    };
    let call = CallId {
        incarnation,
        ..*call
    };
    machine.receive_packet(1_100, &address(3), Packet::RegistrationsAck { call });
    let expected: &[&CallResponse] = if taken {
        &[&CallResponse::Acknowledged]
    } else {
        &[]
    };
    assert_eq!(answers(&settled(&mut machine, 1_100)), expected);
}

#[test]
fn an_order_tells_until_when_by_the_leaders_clock() {
    let mut machine = follower();
    machine.submit_command(1_400, TOKEN, evacuate());
    let (_, expires) = order_of(&sent_to(&settled(&mut machine, 1_400), 2)).unwrap();
    assert_eq!(
        expires,
        LeaderTime {
            term: TERM,
            at: LEADER_CLOCK + 400 + 900
        }
    );
}

#[test]
fn of_what_was_heard_of_the_leaders_clock_the_latest_moment_counts() {
    let mut machine = follower();
    // These bytes were held up for long: the clock that they tell is old.
    hear_leader(&mut machine, 1_390, LEADER_CLOCK + 20);
    machine.submit_command(1_400, TOKEN, evacuate());
    let (_, expires) = order_of(&sent_to(&settled(&mut machine, 1_400), 2)).unwrap();
    assert_eq!(expires.at, LEADER_CLOCK + 400 + 900);
}

#[rstest]
#[case::in_time(0, 0, true)]
#[case::at_its_last_moment(0, 500, true)]
#[case::too_late(0, 501, false)]
#[case::meant_for_a_former_leader(-1, 0, false)]
#[case::meant_for_a_later_leader(1, 0, false)]
fn a_forwarded_order_is_proposed_only_in_its_time_by_the_leader_that_it_is_for(
    #[case] term: i64,
    #[case] after: u64,
    #[case] taken: bool,
) {
    let mut machine = leader();
    let own = machine.replica().term();
    let expires = LeaderTime {
        term: own.checked_add_signed(term).unwrap(),
        at: 1_600,
    };
    let call = CallId {
        incarnation: 5,
        number: 1,
    };
    let now = 1_100 + after;
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
    let actions = settled(&mut machine, now);
    assert_eq!(machine.replica().log().last_index() > before, taken);
    let refused = sent_to(&actions, 3).contains(&Packet::ForwardedCommandReply {
        call,
        outcome: None,
    });
    assert_eq!(refused, !taken);
}

#[test]
fn an_order_whose_caller_has_given_up_is_passed_to_nobody() {
    let mut machine = machine();
    machine.submit_command(100, TOKEN, evacuate());
    settled(&mut machine, 100);
    // The process stood still; the first thing that it hears then is a leader.
    hear_leader(&mut machine, 5_000, LEADER_CLOCK);
    machine.tick(5_010);
    let actions = settled(&mut machine, 5_010);
    assert_eq!(order_of(&sent_to(&actions, 2)), None);
    assert_eq!(answers(&actions), [&CallResponse::Indeterminate]);
}

#[test]
fn an_order_goes_to_the_next_leader_while_its_caller_waits() {
    let mut machine = follower();
    machine.submit_command(1_010, TOKEN, evacuate());
    settled(&mut machine, 1_010);
    let body = MessageBody::Append {
        previous_index: 1,
        previous_term: 1,
        entries: Vec::new(),
        commit: 1,
        round: 1,
    };
    let message = Message {
        from: 3,
        to: 1,
        term: TERM + 1,
        body,
    };
    machine.receive_packet(
        1_300,
        &address(3),
        Packet::Consensus {
            message,
            clock: 7_000,
        },
    );
    settled(&mut machine, 1_300);
    machine.tick(1_350);
    let (_, expires) = order_of(&sent_to(&settled(&mut machine, 1_350), 3)).unwrap();
    assert_eq!(
        expires,
        LeaderTime {
            term: TERM + 1,
            at: 7_000 + (1_910 - 1_300)
        }
    );
}

#[test]
fn an_order_is_passed_again_over_a_new_link_to_the_same_leader() {
    let mut machine = follower();
    machine.submit_command(1_010, TOKEN, evacuate());
    let first = order_of(&sent_to(&settled(&mut machine, 1_010), 2));
    machine.tick(1_050);
    assert_eq!(
        order_of(&sent_to(&settled(&mut machine, 1_050), 2)),
        None,
        "once over one link"
    );
    machine.link_up(1_100, &address(2));
    assert_eq!(order_of(&sent_to(&settled(&mut machine, 1_100), 2)), first);
}

/// Whether another machine's registrations are confirmed before this machine's disk has them, and after.
fn confirmed(status: UpstreamStatus) -> (bool, bool) {
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
    let taken = Packet::RegistrationsAck { call };
    let before = sent_to(&actions, 3).contains(&taken);
    for action in actions {
        if let Action::PersistRegistrations { number } = action {
            machine.registrations_persisted(1_105, number);
        }
    }
    (
        before,
        before || sent_to(&machine.take_actions(), 3).contains(&taken),
    )
}

#[rstest]
#[case::ready(UpstreamStatus::Ready, (true, true))]
#[case::draining(UpstreamStatus::Draining, (false, true))]
#[case::gone(UpstreamStatus::Deregistered, (false, true))]
fn that_an_upstream_leaves_is_confirmed_once_it_is_on_disk(
    #[case] status: UpstreamStatus,
    #[case] expected: (bool, bool),
) {
    assert_eq!(confirmed(status), expected);
}

#[test]
fn a_balancer_that_comes_back_after_a_snapshot_gets_one_too() {
    let mut machine = machine();
    let subscribe = |epoch, offset| Packet::Subscribe {
        balancer: "front".to_owned(),
        epoch,
        offset,
        index: 0,
    };
    machine.subscribe(1_000, 1, &subscribe(0, 0));
    machine.subscribe(1_000, 2, &subscribe(0, 0));
    machine.tick(1_050);
    let begun = machine
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            Action::Deliver {
                subscribers,
                packet: Packet::Snapshot { epoch, offset, .. },
            } => Some((subscribers, epoch, offset)),
            _ => None,
        });
    let (readers, epoch, offset) = begun.expect("new readers get a snapshot");
    assert_eq!(readers, [1, 2], "one for both");
    machine.unsubscribe(1);
    // Meanwhile this machine itself was far behind and got a snapshot.
    let mut state = woadstall_control::state::ControlState::default();
    state.apply(500, &evacuate());
    let members = machine.replica().membership().clone();
    let snapshot = Snapshot {
        index: 500,
        term: 3,
        membership: members,
        state: state.encode(),
    };
    let bytes = nanoserde::SerBin::serialize_bin(&snapshot);
    let head = woadstall_consensus::SnapshotMeta::of(&snapshot, &bytes);
    let piece = woadstall_consensus::SnapshotChunk {
        head,
        offset: 0,
        bytes,
    };
    let message = Message {
        from: 2,
        to: 1,
        term: TERM,
        body: MessageBody::Install { piece, round: 1 },
    };
    machine.receive_packet(1_100, &address(2), Packet::Consensus { message, clock: 0 });
    machine.take_actions();
    machine.subscribe(1_200, 3, &subscribe(epoch, offset));
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

/// ControlMachine 1, which follows machine 2 and has a configuration at position 3.
fn follower_with_configuration() -> ControlMachine {
    let mut machine = follower();
    let body = br#"{"generation":5,"services":[],"routes":[]}"#.to_vec();
    let command = nanoserde::SerBin::serialize_bin(&Command::Put { base: 0, body });
    let entries = vec![
        woadstall_consensus::Entry {
            index: 2,
            term: TERM,
            payload: woadstall_consensus::EntryPayload::Blank,
        },
        woadstall_consensus::Entry {
            index: 3,
            term: TERM,
            payload: woadstall_consensus::EntryPayload::Command(command),
        },
    ];
    let body = MessageBody::Append {
        previous_index: 1,
        previous_term: 1,
        entries,
        commit: 3,
        round: 2,
    };
    let message = Message {
        from: 2,
        to: 1,
        term: TERM,
        body,
    };
    machine.receive_packet(
        1_005,
        &address(2),
        Packet::Consensus {
            message,
            clock: LEADER_CLOCK + 5,
        },
    );
    settled(&mut machine, 1_005);
    assert_eq!(machine.state().generation(), 5);
    machine
}

#[rstest]
#[case::confirmed_and_applied(Some(3), true)]
#[case::confirmed_and_not_applied_yet(Some(4), false)]
#[case::not_confirmed(None, false)]
fn a_read_is_answered_once_what_the_leader_confirmed_is_applied(
    #[case] index: Option<u64>,
    #[case] answered: bool,
) {
    let mut machine = follower_with_configuration();
    machine.read_configuration(1_010, TOKEN);
    let packets = sent_to(&settled(&mut machine, 1_010), 2);
    let Some(Packet::ReadIndexRequest { call }) = packets.first() else {
        panic!("{packets:?}")
    };
    machine.receive_packet(
        1_100,
        &address(2),
        Packet::ReadIndexReply { call: *call, index },
    );
    let actions = settled(&mut machine, 1_100);
    assert_eq!(
        matches!(answers(&actions)[..], [CallResponse::Document(_)]),
        answered,
        "{actions:?}"
    );
    machine.tick(1_910);
    let late = settled(&mut machine, 1_910);
    assert_eq!(
        answers(&late) == [&CallResponse::Indeterminate],
        !answered,
        "{late:?}"
    );
}

#[test]
fn a_read_at_the_leader_waits_for_what_is_in_doubt() {
    let mut machine = leader();
    let term = machine.replica().term();
    machine.submit_command(
        1_100,
        TOKEN,
        Command::Evacuate {
            zone: "z".to_owned(),
        },
    );
    settled(&mut machine, 1_100);
    machine.read_configuration(1_110, TOKEN + 1);
    settled(&mut machine, 1_110);
    // Both others confirm the leader; the disks of both are slow.
    let reply = |index| Packet::Consensus {
        message: Message {
            from: 2,
            to: 1,
            term,
            body: MessageBody::AppendReply {
                success: true,
                index,
                round: 9,
            },
        },
        clock: 0,
    };
    machine.receive_packet(1_200, &address(2), reply(2));
    let actions = settled(&mut machine, 1_200);
    assert!(
        answers(&actions).is_empty(),
        "the order may be taken yet: {actions:?}"
    );
    machine.receive_packet(1_300, &address(2), reply(3));
    let actions = settled(&mut machine, 1_300);
    assert_eq!(
        answers(&actions).len(),
        2,
        "the order is taken, and the read shows it: {actions:?}"
    );
}

#[test]
fn another_entry_at_the_position_of_an_order_does_not_answer_its_call() {
    let mut machine = leader();
    let term = machine.replica().term();
    machine.submit_command(1_100, TOKEN, evacuate());
    settled(&mut machine, 1_100);
    // The next leader never had the order, and has another one in its place.
    let command = nanoserde::SerBin::serialize_bin(&Command::Evacuate {
        zone: "other".to_owned(),
    });
    let payload = woadstall_consensus::EntryPayload::Command(command);
    let entries = vec![woadstall_consensus::Entry {
        index: 3,
        term: term + 1,
        payload,
    }];
    let body = MessageBody::Append {
        previous_index: 2,
        previous_term: term,
        entries,
        commit: 3,
        round: 1,
    };
    let message = Message {
        from: 3,
        to: 1,
        term: term + 1,
        body,
    };
    machine.receive_packet(1_200, &address(3), Packet::Consensus { message, clock: 0 });
    let mut actions = settled(&mut machine, 1_200);
    machine.tick(1_250);
    actions.extend(settled(&mut machine, 1_250));
    assert!(machine.state().evacuated.contains("other"));
    assert_eq!(answers(&actions), [&CallResponse::Indeterminate]);
}

#[test]
fn the_same_change_waits_for_its_own_entry_and_another_one_does_not() {
    let mut machine = leader();
    let put = |generation: u64| {
        let body =
            format!("{{\"generation\":{generation},\"services\":[],\"routes\":[]}}").into_bytes();
        Command::Put { base: 0, body }
    };
    machine.submit_command(1_100, 1, put(5));
    machine.submit_command(1_110, 2, put(5));
    machine.submit_command(1_120, 3, put(6));
    settled(&mut machine, 1_120);
    assert_eq!(
        machine.replica().log().last_index(),
        4,
        "two entries for three calls"
    );
    let reply = MessageBody::AppendReply {
        success: true,
        index: 4,
        round: 9,
    };
    let message = Message {
        from: 2,
        to: 1,
        term: machine.replica().term(),
        body: reply,
    };
    machine.receive_packet(1_200, &address(2), Packet::Consensus { message, clock: 0 });
    let actions = settled(&mut machine, 1_200);
    assert_eq!(
        answers(&actions),
        [
            &CallResponse::Acknowledged,
            &CallResponse::Acknowledged,
            &CallResponse::Conflict { current: 5 }
        ]
    );
}

#[test]
fn evacuations_are_taken_in_the_order_in_which_they_come() {
    let mut machine = leader();
    let zone = || "z".to_owned();
    machine.submit_command(1_100, 1, Command::Evacuate { zone: zone() });
    machine.submit_command(1_110, 2, Command::EndEvacuation { zone: zone() });
    machine.submit_command(1_120, 3, Command::Evacuate { zone: zone() });
    settled(&mut machine, 1_120);
    let reply = MessageBody::AppendReply {
        success: true,
        index: 5,
        round: 9,
    };
    let message = Message {
        from: 2,
        to: 1,
        term: machine.replica().term(),
        body: reply,
    };
    machine.receive_packet(1_200, &address(2), Packet::Consensus { message, clock: 0 });
    settled(&mut machine, 1_200);
    assert!(
        machine.state().evacuated.contains("z"),
        "the third is not the first one said again"
    );
}

#[test]
fn bytes_of_a_leader_that_were_held_up_are_no_sign_that_it_is_there() {
    let mut machine = follower();
    assert!(machine.in_quorum());
    // Ten seconds of silence; then what the leader sent 0.2 s after the last message comes.
    hear_leader(&mut machine, 11_000, LEADER_CLOCK + 200);
    assert!(!machine.in_quorum());
    hear_leader(&mut machine, 11_010, LEADER_CLOCK + 10_010);
    assert!(machine.in_quorum());
}

#[test]
fn a_leaving_counts_here_only_once_it_is_on_this_disk() {
    let mut machine = follower();
    machine.deregister(1_010, TOKEN, "i-1");
    let actions = machine.take_actions();
    let keep = actions.iter().find_map(|action| match action {
        Action::PersistRegistrations { number } => Some(*number),
        _ => None,
    });
    let packets = sent_to(&actions, 3);
    let Some(Packet::Registrations { call, .. }) = packets.first() else {
        panic!("{packets:?}")
    };
    machine.receive_packet(1_100, &address(3), Packet::RegistrationsAck { call: *call });
    assert!(
        answers(&machine.take_actions()).is_empty(),
        "one other of three, and this disk has not written it"
    );
    machine.registrations_persisted(1_200, keep.unwrap());
    assert_eq!(
        answers(&machine.take_actions()),
        [&CallResponse::Acknowledged]
    );
}
