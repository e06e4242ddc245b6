//! Tests of the hand-over of learned state to a new process.

use crate::common::*;
use woadstall_decisions::api::*;

/// A balancer with measurements, at which server 3 fails all calls.
fn harness_with_failing_server() -> Harness {
    let mut harness = Harness::new(settings(), &zones(1, 6));
    harness.warm_up(200);
    for _ in 0..30 {
        harness.run(SAFE, |server| {
            if server == 3 {
                Outcome::Error
            } else {
                Outcome::Ok
            }
        });
    }
    harness
}

/// A new balancer with restored state.
fn restored_harness(list: &[ServerEntry], learned: &LearnedState) -> Harness {
    let mut harness = Harness::new(settings(), list);
    harness.balancer.restore(harness.now, learned);
    harness
}

/// Serves calls, and returns the servers that they were sent to.
fn serve_calls(harness: &mut Harness, calls: u32) -> Vec<u32> {
    (0..calls)
        .filter_map(|_| harness.serve(SAFE, 20 * MS))
        .collect()
}

#[test]
fn new_process_keeps_breakers_open_until_their_time() {
    let mut before = harness_with_failing_server();
    let learned = before.balancer.learned_state();
    assert_eq!(before.balancer.ejected_servers(), 1);
    assert!(!serve_calls(&mut before, 10).contains(&3));
    let mut harness = restored_harness(&zones(1, 6), &learned);
    assert_eq!(harness.balancer.ejected_servers(), 1);
    assert!(
        !serve_calls(&mut harness, 20).contains(&3),
        "the breaker is open in the new process too"
    );
    harness.now += 10 * SECOND;
    assert!(
        serve_calls(&mut harness, 20).contains(&3),
        "the open time is over"
    );
    let mut fresh = Harness::new(settings(), &zones(1, 6));
    assert!(
        serve_calls(&mut fresh, 20).contains(&3),
        "a balancer without learned state calls the failing server"
    );
}

/// Guards against load shedding in the first seconds after an upgrade: without restored estimates,
/// calls that take a little under half of their latency target were measured as congestion.
#[test]
fn new_process_rejects_nothing_in_its_first_second() {
    let play = |harness: &mut Harness, steps: u64| {
        let (mut pending, mut rejections) = (std::collections::VecDeque::new(), 0);
        for _ in 0..steps {
            harness.now += 10 * MS;
            while pending
                .front()
                .is_some_and(|(_, sent_at)| harness.now - sent_at >= 240 * MS)
            {
                let (id, sent_at): (RequestId, u64) =
                    pending.pop_front().expect("a call is pending");
                harness.end(id, 0, Outcome::Ok, harness.now - sent_at);
            }
            let (id, actions) = harness.request(SAFE);
            rejections += u32::from(sent_to(&actions).is_none());
            pending.push_back((id, harness.now));
        }
        rejections
    };
    let mut before = Harness::new(settings(), &zones(1, 12));
    play(&mut before, 1000);
    let learned = before.balancer.learned_state();
    let mut harness = restored_harness(&zones(1, 12), &learned);
    assert_eq!(play(&mut harness, 100), 0);
    let mut fresh = Harness::new(settings(), &zones(1, 12));
    assert!(
        play(&mut fresh, 100) > 0,
        "a balancer without learned state rejects some"
    );
}

#[test]
fn state_of_another_server_process_is_not_restored() {
    let before = harness_with_failing_server();
    let mut list = zones(1, 6);
    list[3].started = Some(1);
    let harness = restored_harness(&list, &before.balancer.learned_state());
    assert_eq!(harness.balancer.ejected_servers(), 0);
    let harness = restored_harness(&zones(1, 2), &before.balancer.learned_state());
    assert_eq!(
        harness.balancer.ejected_servers(),
        0,
        "state of servers that are not listed is ignored"
    );
}

#[test]
fn own_estimates_take_precedence_over_restored_ones() {
    let mut harness = Harness::new(settings(), &zones(1, 6));
    harness.warm_up(60);
    let before = harness.balancer.learned_state();
    harness.balancer.restore(
        harness.now,
        &harness_with_failing_server().balancer.learned_state(),
    );
    let after = harness.balancer.learned_state();
    assert_eq!(
        (
            after.classes,
            after.responses_per_second,
            after.failure_rate
        ),
        (
            before.classes,
            before.responses_per_second,
            before.failure_rate
        )
    );
    assert_eq!(harness.balancer.ejected_servers(), 0);
}

/// Guards rule 4 while two processes send: together they send no more calls to a server in slow
/// start than one process would.
#[test]
fn old_and_new_process_share_a_slow_start_budget() {
    let mut before = Harness::new(settings(), &zones(1, 6));
    serve_calls(&mut before, 400);
    let mut list = zones(1, 6);
    list[5].started = Some(before.now);
    let calls_in_slow_start = |harness: &mut Harness| {
        serve_calls(harness, 200)
            .into_iter()
            .filter(|server| *server == 5)
            .count()
    };
    let learned = before.balancer.learned_state();
    let mut harness = restored_harness(&zones(1, 6), &learned);
    harness.now = before.now;
    harness.handle(Event::ServerList(&list));
    before.handle(Event::ServerList(&list));
    let old_process_calls = calls_in_slow_start(&mut before);
    let new_process_calls = calls_in_slow_start(&mut harness);
    assert!(
        old_process_calls > 0 && new_process_calls <= old_process_calls,
        "{new_process_calls} of 200 calls by the new process, {old_process_calls} by the old one"
    );
}
