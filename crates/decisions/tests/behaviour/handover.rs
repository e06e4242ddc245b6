//! A process that takes over from another one: what it knows from the first call on, and what it must not believe.

use crate::common::*;
use woadstall_decisions::api::*;

/// A balancer that has served for a while, at which one server fails.
fn served() -> Harness {
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

fn successor(list: &[ServerEntry], learned: &LearnedState) -> Harness {
    let mut harness = Harness::new(settings(), list);
    harness.balancer.restore(harness.now, learned);
    harness
}

fn tried(harness: &mut Harness, calls: u32) -> Vec<u32> {
    (0..calls)
        .filter_map(|_| harness.serve(SAFE, 20 * MS))
        .collect()
}

#[test]
fn successor_keeps_breakers_open_until_their_time() {
    let mut before = served();
    let learned = before.balancer.learned_state();
    assert_eq!(before.balancer.ejected_servers(), 1);
    assert!(!tried(&mut before, 10).contains(&3));
    let mut harness = successor(&zones(1, 6), &learned);
    assert_eq!(harness.balancer.ejected_servers(), 1);
    assert!(
        !tried(&mut harness, 20).contains(&3),
        "the breaker is open here too"
    );
    harness.now += 10 * SECOND;
    assert!(tried(&mut harness, 20).contains(&3), "its time is over");
    let mut fresh = Harness::new(settings(), &zones(1, 6));
    assert!(
        tried(&mut fresh, 20).contains(&3),
        "one without learned state finds it anew"
    );
}

/// Guards against the first seconds after an upgrade: without an estimate of their own, calls a little under half
/// of their latency target came out as a jam.
#[test]
fn successor_rejects_nothing_in_its_first_second() {
    let play = |harness: &mut Harness, steps: u64| {
        let (mut pending, mut refusals) = (std::collections::VecDeque::new(), 0);
        for _ in 0..steps {
            harness.now += 10 * MS;
            while pending
                .front()
                .is_some_and(|(_, sent)| harness.now - sent >= 240 * MS)
            {
                let (id, at): (RequestId, u64) = pending.pop_front().expect("one is out");
                harness.end(id, 0, Outcome::Ok, harness.now - at);
            }
            let (id, actions) = harness.request(SAFE);
            refusals += u32::from(sent_to(&actions).is_none());
            pending.push_back((id, harness.now));
        }
        refusals
    };
    let mut before = Harness::new(settings(), &zones(1, 12));
    play(&mut before, 1000);
    let learned = before.balancer.learned_state();
    let mut harness = successor(&zones(1, 12), &learned);
    assert_eq!(play(&mut harness, 100), 0);
    let mut fresh = Harness::new(settings(), &zones(1, 12));
    assert!(
        play(&mut fresh, 100) > 0,
        "one without learned state rejects some"
    );
}

#[test]
fn what_was_learned_of_another_process_is_not_restored() {
    let before = served();
    let mut list = zones(1, 6);
    list[3].started = Some(1);
    let harness = successor(&list, &before.balancer.learned_state());
    assert_eq!(harness.balancer.ejected_servers(), 0);
    let harness = successor(&zones(1, 2), &before.balancer.learned_state());
    assert_eq!(
        harness.balancer.ejected_servers(),
        0,
        "a server that is not listed is nobody's"
    );
}

#[test]
fn own_estimates_go_before_those_of_the_predecessor() {
    let mut harness = Harness::new(settings(), &zones(1, 6));
    harness.warm_up(60);
    let before = harness.balancer.learned_state();
    harness
        .balancer
        .restore(harness.now, &served().balancer.learned_state());
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

/// Guards rule 4 while two processes send: what both together send a server in slow start is what one would.
#[test]
fn successor_and_predecessor_split_a_slow_start_budget() {
    let mut before = Harness::new(settings(), &zones(1, 6));
    tried(&mut before, 400);
    let mut list = zones(1, 6);
    list[5].started = Some(before.now);
    let count = |harness: &mut Harness| {
        tried(harness, 200)
            .into_iter()
            .filter(|server| *server == 5)
            .count()
    };
    let learned = before.balancer.learned_state();
    let mut harness = successor(&zones(1, 6), &learned);
    harness.now = before.now;
    harness.handle(Event::ServerList(&list));
    before.handle(Event::ServerList(&list));
    let (first, second) = (count(&mut before), count(&mut harness));
    assert!(
        first > 0 && second <= first,
        "{second} beside {first} of 200"
    );
}
