//! Tests of circuit breakers: the failures that trip them, and the trial calls that close them.

use crate::common::*;
use woadstall_decisions::api::*;

fn timers(actions: &[Action], now: u64) -> Vec<(u64, u64)> {
    let timer = |action: &Action| match action {
        Action::SetTimer { after, token } => Some((now + after, *token)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

fn local_calls(harness: &mut Harness) -> usize {
    harness.now += SECOND / 2;
    (0..20)
        .filter_map(|_| harness.serve(UNSAFE, 20 * MS))
        .filter(|&server| server < 4)
        .count()
}

/// Guards against use of a hung server until the deadline: its calls never end, and unsafe calls
/// have no timeout before the deadline.
#[test]
fn hung_server_trips_before_the_deadline_of_unsafe_calls() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    for call in 0..60 {
        harness.serve(UNSAFE, (15 + call % 10) * MS);
    }
    // Due time and token of the timers of the calls that hang.
    let mut hung_call_timers = Vec::new();
    for _ in 0..200 {
        let (id, actions) = harness.request(UNSAFE);
        let timer = actions.iter().find_map(|action| match action {
            Action::SetTimer { after, token } => Some((harness.now + after, *token)),
            _ => None,
        });
        if sent_to(&actions) == Some(1) {
            hung_call_timers.push(timer.expect("a timer for a late attempt"));
        } else {
            harness.now += 20 * MS;
            harness.end(id, 0, Outcome::Ok, 20 * MS);
        }
        let now = harness.now;
        for (_, token) in hung_call_timers.extract_if(.., |(due, _)| *due <= now) {
            harness.handle(Event::Timer(token));
        }
        if harness.now > 5 * SECOND {
            break;
        }
    }
    let later_servers: Vec<_> = (0..12)
        .filter_map(|_| harness.serve(UNSAFE, 5 * MS))
        .collect();
    assert!(!later_servers.contains(&1), "{later_servers:?}");
}

/// Guards against ejecting servers at their connection limit. Such a server refuses new connections
/// but responds on the others; breakers treated it as dead, and when that happened to half of a
/// zone, the zone was left.
#[test]
fn failed_connections_to_a_responding_server_do_not_trip_its_breaker() {
    let mut harness = Harness::new(settings(), &zones(2, 4));
    harness.warm_up(200);
    let mut other_zone = 0;
    for call in 0..200 {
        let (id, mut actions) = harness.request(SAFE);
        let mut attempt = 0;
        while let Some(server) = sent_to(&actions) {
            other_zone += u32::from(server >= 4);
            harness.now += MS;
            let outcome = if (call + attempt) % 4 != 0 {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            };
            actions = harness.end(
                id,
                attempt,
                outcome,
                if outcome == Outcome::Ok { 20 * MS } else { MS },
            );
            if outcome == Outcome::Ok {
                break;
            }
            attempt += 1;
        }
        harness.now += 20 * MS;
    }
    // The last attempts of many calls go to another zone, but the local zone stays in use: after
    // the interval in which each server is tried with one more connection, calls stay local.
    harness.now += 5 * SECOND;
    let local = local_calls(&mut harness);
    assert!(
        local >= 15,
        "{local} of 20 calls stay in the zone, {other_zone} attempts left it"
    );
}

/// Guards against treating heavy calls as failures: calls with much work opened the breakers of
/// healthy servers.
#[test]
fn heavy_calls_do_not_trip_a_healthy_server() {
    let mut harness = Harness::new(settings(), &zones(1, 2));
    // Mean latency of 20 ms, mean deviation of 10 ms.
    for call in 0..400 {
        harness.serve(UNSAFE, if call % 2 == 0 { 10 * MS } else { 30 * MS });
    }
    let (mut timers, ids) = (
        Vec::new(),
        (0..6).map(|_| harness.request(UNSAFE)).collect::<Vec<_>>(),
    );
    for (_, actions) in &ids {
        timers.extend(actions.iter().filter_map(|action| match action {
            Action::SetTimer { token, after } => Some((*token, harness.now + after)),
            _ => None,
        }));
    }
    // All calls are answered 17 deviations above the mean.
    let answered_at = harness.now + 190 * MS;
    let mut logs = Vec::new();
    while let Some(position) = timers.iter().position(|&(_, due)| due < answered_at) {
        let (token, due) = timers.swap_remove(position);
        harness.now = harness.now.max(due);
        for action in harness.handle(Event::Timer(token)) {
            match action {
                Action::SetTimer { token, after } => timers.push((token, harness.now + after)),
                Action::Log(text) => logs.push(text),
                _ => {}
            }
        }
    }
    assert!(
        logs.iter().all(|text| !text.contains("breaker")),
        "{logs:?}"
    );
}

/// Guards against timeouts that are shorter than a stall of the balancer. With latencies of 1 ms, 20
/// deviations above the mean are only 1 ms more; a balancer that stalled for 20 ms timed out all its
/// attempts at once and rejected 200 calls to healthy servers.
#[test]
fn stalled_balancer_does_not_time_out_calls_to_healthy_servers() {
    let mut harness = Harness::new(settings(), &zones(1, 2));
    for _ in 0..200 {
        harness.serve(SAFE, MS);
    }
    let (_, actions) = harness.request(SAFE);
    let until = actions.iter().find_map(|action| match action {
        Action::Send { until, .. } => Some(*until - harness.now),
        _ => None,
    });
    assert!(
        until.is_some_and(|until| (50 * MS..500 * MS).contains(&until)),
        "{until:?}"
    );
    // The server does not count as failed before that either. The first timer finds the call late,
    // and the second one, which records a failure, is not due earlier than the timeout.
    let (due, token) = timers(&actions, harness.now).pop().expect("a first timer");
    harness.now = due;
    let (delay, _) = timers(&harness.handle(Event::Timer(token)), 0)
        .pop()
        .expect("a second timer");
    assert!(delay >= 50 * MS, "{delay}");
}

#[test]
fn breaker_opens_after_failures_in_a_row_and_closes_by_a_trial() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    harness.warm_up(100);
    for _ in 0..20 {
        harness.run(SAFE, |server| {
            if server == 2 {
                Outcome::Reset
            } else {
                Outcome::Ok
            }
        });
    }
    let open = counts((0..20).filter_map(|_| harness.serve(UNSAFE, MS)));
    assert!(!open.contains_key(&2), "{open:?}");
    harness.now += 10 * SECOND;
    let recovered = counts((0..40).filter_map(|_| harness.serve(SAFE, 20 * MS)));
    assert!(recovered.contains_key(&2), "{recovered:?}");
}

#[test]
fn half_open_breaker_admits_one_trial_call() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    harness.warm_up(100);
    for _ in 0..20 {
        harness.run(SAFE, |server| {
            if server == 2 {
                Outcome::Reset
            } else {
                Outcome::Ok
            }
        });
    }
    harness.now += 10 * SECOND;
    let first: Vec<u32> = (0..8)
        .filter_map(|_| sent_to(&harness.request(SAFE).1))
        .collect();
    assert_eq!(
        first.iter().filter(|&&server| server == 2).count(),
        1,
        "{first:?}"
    );
}

#[test]
fn rejections_do_not_trip_a_breaker() {
    let mut harness = Harness::new(settings(), &zones(1, 2));
    harness.warm_up(50);
    for _ in 0..30 {
        harness.run(SAFE, |server| {
            if server == 1 {
                Outcome::Full
            } else {
                Outcome::Ok
            }
        });
    }
    harness.now += SECOND / 2;
    let turns = counts((0..10).filter_map(|_| harness.serve(UNSAFE, 20 * MS)));
    assert!(turns.contains_key(&1), "{turns:?}");
}
