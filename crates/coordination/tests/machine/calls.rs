//! The life cycle of a call: forwarding to the leader, execution through the log, and the response
//! after failures on that path.

use crate::calls_support::{acquire, acquired, get, next_number, number, put, put_at, value};
use crate::cluster::{Cluster, STEP_MS};
use rstest::rstest;
use woadstall_coordination::command::{Call, Command};
use woadstall_coordination::machine::Response;
use woadstall_coordination::outcome::Outcome;
use woadstall_coordination::wire::Packet;

/// The time in milliseconds within which a call is executed without failures.
const FIRST_ATTEMPT_MS: u64 = 150;
/// The time in milliseconds after which every call has a response.
const CALL_TIMEOUT_MS: u64 = 900;

fn executed(outcome: Outcome) -> Option<Response> {
    Some(Response::Executed(outcome))
}

/// A query for the key `g.a`.
fn query() -> Call {
    Call::Query(get("g.a"))
}

#[test]
fn a_single_machine_answers_its_calls() {
    let (mut cluster, leader) = Cluster::with_leader(1);
    assert_eq!(cluster.execute(leader, next_number("n")), number(1));
    let token = cluster.submit(leader, query());
    assert_eq!(
        cluster.await_response(token, 100),
        executed(Outcome::KeyNotFound)
    );
}

#[test]
fn every_machine_accepts_calls() {
    let (mut cluster, _) = Cluster::with_leader(3);
    for (id, expected) in [(1, 1), (2, 2), (3, 3)] {
        assert_eq!(cluster.execute(id, next_number("n")), number(expected));
    }
    assert_eq!(cluster.execute(1, put("g.a", "x", None)), put_at(1));
    for id in [1, 2, 3] {
        let token = cluster.submit(id, query());
        let response = cluster.await_response(token, 100);
        assert_eq!(response, executed(value("x", 1)), "machine {id}");
    }
    cluster.await_convergence();
}

#[test]
fn short_calls_of_each_kind_are_executed_at_their_first_attempt_on_every_machine() {
    let (mut cluster, _) = Cluster::with_leader(3);
    for id in [1, 2, 3] {
        let calls = [
            Call::Command(acquire(&format!("l{id}"), "a", 3_000)),
            Call::Command(next_number("n")),
            Call::Command(put(&format!("g.{id}"), "x", None)),
            Call::Query(get(&format!("g.{id}"))),
        ];
        for call in calls {
            let token = cluster.submit(id, call.clone());
            let response = cluster.await_response(token, FIRST_ATTEMPT_MS);
            let is_executed = matches!(response, Some(Response::Executed(_)));
            assert!(is_executed, "machine {id}, {call:?}: {response:?}");
        }
    }
}

#[test]
fn calls_without_a_leader_are_not_executed() {
    let mut cluster = Cluster::new(3);
    for call in [query(), Call::Command(acquire("l", "a", 1_000))] {
        let token = cluster.submit(1, call);
        assert_eq!(cluster.response(token), Some(Response::NotExecuted));
    }
}

#[test]
fn an_isolated_machine_stops_accepting_calls() {
    let (mut cluster, _) = Cluster::with_leader(3);
    let follower = cluster.follower();
    cluster.isolate(follower);
    cluster.run(1_600);
    let token = cluster.submit_command(follower, next_number("n"));
    assert_eq!(cluster.response(token), Some(Response::NotExecuted));
}

#[rstest]
#[case::command(Call::Command(next_number("n")), Response::Unknown)]
#[case::query(query(), Response::NotExecuted)]
fn a_forwarded_call_without_a_response_times_out(#[case] call: Call, #[case] expected: Response) {
    let (mut cluster, _) = Cluster::with_leader(3);
    let follower = cluster.follower();
    cluster.drop_packets(|_, _, packet| matches!(packet, Packet::Calls(_)));
    let token = cluster.submit(follower, call);
    let end = cluster.now + CALL_TIMEOUT_MS;
    assert_eq!(
        cluster.await_response(token, CALL_TIMEOUT_MS - STEP_MS),
        None
    );
    assert_eq!(cluster.await_response(token, 2 * STEP_MS), Some(expected));
    assert!(cluster.now <= end + STEP_MS);
}

// The call reaches the leader after its caller was told that the outcome is unknown. An execution
// at that point would leave a lease that no caller knows of.
#[test]
fn a_call_that_reaches_the_leader_after_its_deadline_is_not_executed() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let follower = cluster.follower();
    cluster.drop_packets(|_, _, packet| matches!(packet, Packet::Calls(_)));
    cluster.submit_command(follower, acquire("l", "a", 60_000));
    let calls = cluster.forwarded_calls();
    assert_eq!(calls.len(), 1);
    cluster.clear_packet_filter();
    cluster.run(CALL_TIMEOUT_MS + 2 * STEP_MS);
    let sent = cluster.sent.len();
    cluster.deliver_packet(follower, leader, calls[0].clone());
    cluster.run(200);
    let rejected = |packet: &Packet| matches!(packet, Packet::RejectedCalls(ids) if ids.len() == 1);
    let mut later = cluster.sent[sent..].iter();
    assert!(later.any(|(from, _, packet)| *from == leader && rejected(packet)));
    assert_eq!(cluster.machine(leader).state().size().leases, 0);
}

#[test]
fn a_call_for_another_term_is_not_executed() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let follower = cluster.follower();
    cluster.drop_packets(|_, _, packet| matches!(packet, Packet::Calls(_)));
    cluster.submit_command(follower, acquire("l", "a", 60_000));
    let Packet::Calls(mut calls) = cluster.forwarded_calls().remove(0) else {
        unreachable!()
    };
    calls[0].deadline.term -= 1;
    cluster.deliver_packet(follower, leader, Packet::Calls(calls));
    cluster.run(200);
    assert_eq!(cluster.machine(leader).state().size().leases, 0);
}

#[test]
fn a_call_lost_with_its_connection_is_resent() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let follower = cluster.follower();
    cluster.drop_packets(|_, _, packet| matches!(packet, Packet::Calls(_)));
    let token = cluster.submit_command(follower, put("g.a", "x", Some(0)));
    cluster.clear_packet_filter();
    cluster.run(100);
    assert_eq!(cluster.response(token), None);
    cluster.reset_connection(follower, leader);
    assert_eq!(cluster.await_response(token, 100), executed(put_at(1)));
}

#[test]
fn an_acquire_call_is_never_resent() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let follower = cluster.follower();
    cluster.drop_packets(|_, _, packet| matches!(packet, Packet::Calls(_)));
    let token = cluster.submit_command(follower, acquire("l", "a", 60_000));
    cluster.clear_packet_filter();
    cluster.reset_connection(follower, leader);
    let response = cluster.await_response(token, CALL_TIMEOUT_MS + STEP_MS);
    assert_eq!(response, Some(Response::Unknown));
    assert_eq!(cluster.forwarded_calls().len(), 1);
    assert_eq!(cluster.machine(leader).state().size().leases, 0);
}

// The leader has proposed the first copy, and the follower has not received its outcome yet.
#[test]
fn a_resent_put_takes_effect_once() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let follower = cluster.follower();
    let token = cluster.submit_command(follower, put("g.a", "x", None));
    cluster.run(2 * STEP_MS);
    cluster.reset_connection(follower, leader);
    assert_eq!(cluster.await_response(token, 300), executed(put_at(1)));
    cluster.run(300);
    assert_eq!(cluster.machine(leader).state().group_revision("g"), 1);
}

/// Commits two copies of a follower's put in two batches, with the command `between` executed
/// between them. Returns the response to the caller of the duplicated put.
fn response_to_duplicated_put(required: u64, between: Command) -> Option<Response> {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let follower = cluster.follower();
    assert_eq!(
        cluster.execute(leader, put("g.a", "first", None)),
        put_at(1)
    );
    cluster.run(100);
    // The leader's commit index does not reach the follower until both copies are proposed.
    let from_leader = move |from, to, packet: &Packet| {
        (from, to) == (leader, follower) && matches!(packet, Packet::Consensus { .. })
    };
    cluster.drop_packets(from_leader);
    let token = cluster.submit_command(follower, put("g.a", "twice", Some(required)));
    cluster.run(100);
    cluster.execute(leader, between);
    cluster.run(100);
    cluster.reset_connection(follower, leader);
    cluster.run(100);
    cluster.clear_packet_filter();
    cluster.await_response(token, CALL_TIMEOUT_MS)
}

#[test]
fn a_duplicated_put_on_an_outdated_revision_is_reported_as_rejected() {
    let between = put("g.a", "between", Some(1));
    let response = response_to_duplicated_put(0, between);
    assert_eq!(response, executed(Outcome::RevisionConflict { current: 1 }));
}

// The first copy is rejected and the second copy succeeds.
#[test]
fn a_duplicated_put_is_not_reported_as_rejected_while_the_second_copy_may_succeed() {
    let between = put("g.a", "between", Some(1));
    let response = response_to_duplicated_put(2, between);
    assert_eq!(response, Some(Response::Unknown));
}

#[test]
fn calls_beyond_the_queue_limit_are_executed_later() {
    const CALLS: u64 = 6_000;
    let (mut cluster, leader) = Cluster::with_leader(3);
    // A machine accepts at most 2,048 pending calls, so the calls are spread over three machines.
    let submit = |call| cluster.submit_command(call % 3 + 1, next_number("n"));
    let tokens: Vec<u64> = (0..CALLS).map(submit).collect();
    assert!(cluster.machine(leader).status().queued_calls <= 4_096);
    cluster.run(CALL_TIMEOUT_MS - STEP_MS);
    let mut values = Vec::new();
    for token in tokens {
        match cluster.response(token) {
            Some(Response::Executed(Outcome::Number { value })) => values.push(value),
            other => panic!("{other:?}"),
        }
    }
    values.sort_unstable();
    assert_eq!(values, (1..=CALLS).collect::<Vec<u64>>());
}

#[test]
fn batches_are_bounded_and_calls_keep_their_order() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let large = "v".repeat(60 << 10);
    let mut tokens = Vec::new();
    for count in 0..10 {
        let text = format!("{count}{large}");
        tokens.push(cluster.submit_command(leader, put("g.a", &text, None)));
    }
    cluster.run(500);
    for (token, revision) in tokens.into_iter().zip(1..) {
        assert_eq!(cluster.response(token), executed(put_at(revision)));
    }
    assert!(cluster.machine(leader).status().counters.batches >= 3);
}

#[test]
fn calls_of_an_earlier_process_are_not_answered() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let follower = cluster.follower();
    cluster.submit_command(follower, acquire("l", "a", 60_000));
    cluster.stop(follower);
    cluster.run(300);
    cluster.restart(follower);
    cluster.run(1_000);
    let token = cluster.submit_command(follower, next_number("n"));
    assert_eq!(cluster.await_response(token, 300), executed(number(1)));
    assert!(cluster.machine(leader).replica().is_leader());
    let outcome = cluster.execute(follower, acquire("m", "a", 1_000));
    // The lease count is read from the responding machine, because it may apply the batch before
    // the leader does.
    let leases = cluster.machine(follower).state().size().leases as u64;
    assert_eq!(outcome, acquired(leases));
}

#[test]
fn a_queued_call_is_not_executed_after_its_deadline() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    // The first call is proposed at once, so the second call waits for the next batch.
    cluster.submit_command(leader, next_number("n"));
    let token = cluster.submit_command(leader, acquire("l", "a", 60_000));
    assert_eq!(cluster.machine(leader).status().queued_calls, 1);
    cluster.freeze(leader);
    cluster.run(CALL_TIMEOUT_MS + 2 * STEP_MS);
    cluster.resume(leader);
    cluster.run(STEP_MS);
    assert!(cluster.machine(leader).replica().is_leader());
    assert!(cluster.response(token).is_some());
    cluster.run(300);
    assert_eq!(cluster.machine(leader).state().size().leases, 0);
}

#[test]
fn a_call_forwarded_twice_is_queued_once() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let follower = cluster.follower();
    cluster.drop_packets(|_, _, packet| matches!(packet, Packet::Calls(_)));
    let token = cluster.submit_command(follower, next_number("n"));
    cluster.clear_packet_filter();
    // A batch has just been proposed, so both copies wait in the queue.
    cluster.submit_command(leader, next_number("m"));
    let calls = cluster.forwarded_calls().remove(0);
    cluster.deliver_packet(follower, leader, calls.clone());
    cluster.deliver_packet(follower, leader, calls);
    assert_eq!(cluster.await_response(token, 300), executed(number(1)));
    assert_eq!(cluster.execute(leader, next_number("n")), number(2));
}

// The machine has received no message since it was frozen, so it can't know whether the leader
// still leads.
#[test]
fn a_resumed_machine_accepts_no_calls_before_it_hears_from_the_leader() {
    let (mut cluster, _) = Cluster::with_leader(3);
    let follower = cluster.follower();
    cluster.freeze(follower);
    cluster.run(3_000);
    cluster.resume(follower);
    let token = cluster.submit_command(follower, acquire("l", "a", 60_000));
    assert_eq!(cluster.response(token), Some(Response::NotExecuted));
    cluster.run(500);
    let token = cluster.submit_command(follower, acquire("l", "a", 60_000));
    assert_eq!(cluster.await_response(token, 300), executed(acquired(1)));
}

#[rstest]
#[case::an_outdated_revision(Outcome::RevisionConflict { current: 6 }, true)]
#[case::a_future_revision(Outcome::RevisionConflict { current: 4 }, false)]
#[case::limit_reached(Outcome::LimitReached, false)]
#[case::success(put_at(6), true)]
fn an_outcome_of_a_put_is_final_unless_a_second_copy_may_succeed(
    #[case] outcome: Outcome,
    #[case] expected: bool,
) {
    assert_eq!(
        put("g.a", "x", Some(5)).is_final_outcome(&outcome),
        expected
    );
}
