//! Tests of the rules that every decision follows.

use crate::common::*;
use woadstall_decisions::api::*;

#[test]
fn rule_1_every_request_gets_one_response() {
    let mut harness = Harness::new(settings(), &zones(3, 2));
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Full,
        Outcome::Moot,
    ] {
        for class in [SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL] {
            let (tried, response) = harness.run(class, |_| outcome);
            assert!(tried.len() <= 4);
            assert!(
                matches!(response, Some(Action::Reject { .. } | Action::Fail(_))),
                "{outcome:?} {response:?}"
            );
        }
    }
}

#[test]
fn rule_1_without_servers_requests_are_rejected_at_once() {
    let mut harness = Harness::new(settings(), &[]);
    assert!(is_rejected(&harness.request(UNSAFE).1));
}

#[test]
fn rule_2_unsafe_call_that_may_have_run_fails_and_is_neither_rejected_nor_retried() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    let (tried, response) = harness.run(UNSAFE, |_| Outcome::Reset);
    assert_eq!(
        (tried.len(), response),
        (1, Some(Action::Fail(RequestId(0))))
    );
    let (tried, _) = harness.run(UNSAFE, |_| Outcome::Full);
    assert_eq!(tried.len(), 4);
}

#[test]
fn rule_2_keyed_call_is_retried_within_its_scope_and_window_only() {
    let mut harness = Harness::new(settings(), &zones(3, 4));
    let (tried, _) = harness.run(KEYED_ZONE, |_| Outcome::Error);
    assert!(
        tried.len() > 1 && tried.iter().all(|server| server / 4 == tried[0] / 4),
        "{tried:?}"
    );
    let (tried, _) = harness.run(KEYED_CELL, |_| Outcome::Error);
    assert!(
        tried.len() > 1 && tried.iter().all(|server| server % 2 == tried[0] % 2),
        "{tried:?}"
    );
    let (id, _) = harness.request(KEYED_ALL);
    harness.now += SECOND + MS;
    assert_eq!(
        harness.end(id, 0, Outcome::Error, SECOND + MS),
        [Action::Fail(id)]
    );
}

#[test]
fn rule_3_draining_and_removed_servers_get_nothing_new() {
    let mut harness = Harness::new(settings(), &zones(1, 3));
    let mut drained = entry(1, 0);
    drained.lifecycle = Lifecycle::Draining;
    harness.handle(Event::ServerListChange(&[drained]));
    harness.handle(Event::ServerList(&[
        entry(0, 0),
        ServerEntry {
            lifecycle: Lifecycle::Draining,
            ..entry(1, 0)
        },
    ]));
    let turns = counts((0..30).filter_map(|_| sent_to(&harness.request(UNSAFE).1)));
    assert_eq!(turns.keys().copied().collect::<Vec<_>>(), [0]);
}

#[test]
fn rule_4_slow_start_sends_the_usual_calls_times_the_warmth_at_most() {
    let mut list = zones(1, 4);
    let mut harness = Harness::new(settings(), &list);
    harness.warm_up(500);
    list[3].started = Some(harness.now);
    harness.handle(Event::ServerListChange(&list[3..]));
    let turns = counts((0..100).filter_map(|_| harness.serve(SAFE, 20 * MS)));
    let warming = turns.get(&3).copied().unwrap_or(0);
    assert!((1..=11).contains(&warming), "{turns:?}");
}

#[test]
fn rule_4_fallback_spares_a_zone_that_is_all_in_slow_start() {
    let mut list = zones(3, 4);
    let mut harness = Harness::new(settings(), &list);
    harness.warm_up(500);
    for server in &mut list[..4] {
        server.started = Some(harness.now);
    }
    harness.handle(Event::ServerList(&list));
    let turns = counts((0..100).filter_map(|_| harness.serve(SAFE, 20 * MS)));
    let warming: u32 = turns.range(..4).map(|(_, n)| n).sum();
    assert!((1..=45).contains(&warming), "{turns:?}");
    assert_eq!(turns.values().sum::<u32>(), 100);
}

#[test]
fn disconnected_client_gets_no_response_and_its_attempt_is_cancelled() {
    let mut harness = Harness::new(settings(), &zones(1, 2));
    let (id, _) = harness.request(SAFE);
    assert_eq!(
        harness.handle(Event::ClientDisconnected(id)),
        [Action::Cancel { id, attempt: 0 }]
    );
    assert_eq!(harness.handle(Event::ClientDisconnected(id)), []);
    assert_eq!(harness.end(id, 0, Outcome::Cancelled, MS), []);
}
