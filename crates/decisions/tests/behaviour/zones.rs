//! Tests of zone selection: affinity, avoidance and spillover.

use crate::common::*;
use woadstall_decisions::api::*;

/// Guards against staying in a zone whose servers reject all calls: the zone has few calls in
/// flight and looked idle, so it kept all calls of its balancers.
#[test]
fn zone_that_only_rejects_is_left() {
    let mut harness = Harness::new(settings(), &zones(2, 3));
    harness.warm_up(100);
    let mut other_zone = 0;
    for _ in 0..20 {
        let (id, mut actions) = harness.request(SAFE);
        other_zone += u32::from(sent_to(&actions).is_some_and(|server| server >= 3));
        for attempt in 0..4 {
            harness.now += MS;
            let Some(server) = sent_to(&actions) else {
                break;
            };
            let outcome = if server < 3 {
                Outcome::Full
            } else {
                Outcome::Ok
            };
            actions = harness.end(id, attempt, outcome, MS);
        }
    }
    assert!(
        other_zone >= 10,
        "{other_zone} of 20 requests went to the other zone at once"
    );
}

/// Guards against crossings without benefit: a balancer with few calls has twice its usual calls in
/// flight by chance alone.
#[test]
fn random_bunching_at_a_balancer_with_few_calls_stays_in_the_zone() {
    let mut harness = Harness::new(settings(), &zones(2, 12));
    // Usually four calls of 20 ms each are in flight; bunches raise that to more than twice as
    // many.
    let (mut pending, mut crossings) = (std::collections::VecDeque::new(), 0);
    for step in 0..2000 {
        harness.now += 5 * MS;
        while pending
            .front()
            .is_some_and(|(_, sent_at)| harness.now - sent_at >= 20 * MS)
        {
            let (id, sent_at): (RequestId, u64) = pending.pop_front().expect("a call is pending");
            harness.end(id, 0, Outcome::Ok, harness.now - sent_at);
        }
        let bunch = if step > 1000 && step % 20 == 0 { 7 } else { 1 };
        for _ in 0..bunch {
            let (id, actions) = harness.request(SAFE);
            crossings += u32::from(sent_to(&actions).is_some_and(|server| server >= 12));
            pending.push_back((id, harness.now));
        }
    }
    assert_eq!(crossings, 0, "calls that left a healthy zone");
}

/// Guards a new balancer against leaving its zone: before the first response, it treated its first
/// calls in flight as an overload and sent the following calls across zones.
#[test]
fn new_balancer_stays_in_its_zone() {
    let mut harness = Harness::new(settings(), &zones(2, 6));
    let servers: Vec<u32> = (0..20)
        .filter_map(|_| sent_to(&harness.request(SAFE).1))
        .collect();
    assert!(
        servers.len() == 20 && servers.iter().all(|&server| server < 6),
        "{servers:?}"
    );
}

/// Guards against staying in a failing zone: a balancer with few calls calls each server too seldom
/// to trip its breaker, and stayed in a zone where a fifth of the calls failed.
#[test]
fn zone_with_many_failures_is_left_though_no_breaker_trips() {
    // One call in `failure_interval` fails in the local zone.
    let crossings = |failure_interval: u32, cross_zone_cost: f64| {
        let mut harness = Harness::new(
            Settings {
                cross_zone_cost,
                ..settings()
            },
            &zones(2, 40),
        );
        // These calls have the same latency as the later ones, since the balancer also leaves a
        // zone that slows down.
        (0..100).for_each(|_| assert!(harness.serve(SAFE, 100 * MS).is_some()));
        let mut crossings = 0;
        for call in 0..80 {
            let (id, actions) = harness.request(UNSAFE);
            let Some(server) = sent_to(&actions) else {
                continue;
            };
            crossings += u32::from(server >= 40);
            harness.now += 100 * MS;
            let failed = server < 40 && call % failure_interval == 0;
            harness.end(
                id,
                0,
                if failed { Outcome::Error } else { Outcome::Ok },
                100 * MS,
            );
        }
        crossings
    };
    assert_eq!(
        crossings(30, 0.0),
        0,
        "a few failures are no reason to leave"
    );
    assert!(crossings(4, 0.01) > 10);
    assert_eq!(
        crossings(4, 0.5),
        0,
        "crossings that cost more than they gain"
    );
}

/// Guards spillover with hundreds of balancers: each has too few calls in flight to reach a load
/// threshold, although all its calls are late.
#[test]
fn balancer_with_few_calls_spills_over_the_surplus_of_a_slow_zone_and_no_more() {
    let mut harness = Harness::new(settings(), &zones(2, 12));
    let mut crossed = [0, 0, 0];
    for step in 0..1200 {
        let (phase, pause) = (step / 400, 400 * MS);
        let (id, actions) = harness.request(SAFE);
        let server = sent_to(&actions).expect("sent");
        crossed[phase] += u32::from(server >= 12);
        // In the second phase the local zone is slow. In the third phase the other zone becomes as
        // slow with the calls that spill over.
        let latency = match (phase, server < 12) {
            (0, _) => 50 * MS,
            (1, false) => 50 * MS,
            _ => 250 * MS,
        };
        harness.now += latency;
        harness.end(id, 0, Outcome::Ok, latency);
        harness.now += pause;
    }
    assert_eq!(crossed[0], 0, "no call crosses while both zones are fast");
    assert!(crossed[1] > 200, "{crossed:?}");
    assert!(crossed[2] < 60, "crossing gains nothing: {crossed:?}");
}

/// Guards against crossing to a failed zone: a balancer with few calls found the dead servers of
/// the zone one by one, and kept sending calls there until then.
#[test]
fn zone_where_half_of_all_calls_fail_gets_no_more_of_them() {
    let mut harness = Harness::new(settings(), &zones(3, 20));
    harness.warm_up(60);
    // The local zone is left for its own failures. Zone 1 is dead and zone 2 is healthy.
    let mut to_dead = [0, 0];
    for call in 0..240 {
        let (id, actions) = harness.request(UNSAFE);
        let Some(server) = sent_to(&actions) else {
            continue;
        };
        harness.now += 20 * MS;
        let outcome = match server / 20 {
            0 if call % 4 == 0 => Outcome::Error,
            1 => Outcome::ConnectFailed,
            _ => Outcome::Ok,
        };
        harness.end(id, 0, outcome, 20 * MS);
        to_dead[call / 120] += u32::from(server / 20 == 1);
    }
    assert!(
        to_dead[1] <= 3,
        "{to_dead:?}: the failure rate of the whole zone shows that it is dead"
    );
}

#[test]
fn healthy_local_zone_gets_all_calls_in_even_turns() {
    let mut harness = Harness::new(settings(), &zones(3, 4));
    let turns = counts((0..400).filter_map(|_| harness.serve(SAFE, 20 * MS)));
    assert_eq!(turns.keys().copied().collect::<Vec<_>>(), [0, 1, 2, 3]);
    assert!(
        turns.values().all(|&count| (90..=110).contains(&count)),
        "{turns:?}"
    );
}

/// Guards small fleets: a zone with only one healthy server stays in use.
#[test]
fn local_zone_is_left_only_when_none_of_its_servers_is_healthy() {
    for local_servers in [1, 0] {
        let mut list = zones(3, 4);
        list.retain(|entry| entry.zone.0 != 0 || entry.server.0 < local_servers);
        let mut harness = Harness::new(settings(), &list);
        let turns = counts((0..90).filter_map(|_| harness.serve(SAFE, 20 * MS)));
        assert_eq!(
            turns.len(),
            if local_servers == 1 { 1 } else { 8 },
            "{turns:?}"
        );
    }
}

#[test]
fn zone_is_not_used_while_half_its_servers_are_ejected() {
    let mut harness = Harness::new(settings(), &zones(3, 4));
    harness.warm_up(40);
    for _ in 0..60 {
        harness.run(SAFE, |server| {
            if server < 2 {
                Outcome::Error
            } else {
                Outcome::Ok
            }
        });
    }
    let turns = counts((0..60).filter_map(|_| harness.serve(UNSAFE, 5 * MS)));
    assert!(turns.keys().any(|&server| server >= 4), "{turns:?}");
}

#[test]
fn zone_with_twice_its_usual_calls_in_flight_is_left() {
    let mut harness = Harness::new(settings(), &zones(3, 4));
    harness.warm_up(200);
    let servers: Vec<u32> = (0..40)
        .filter_map(|_| sent_to(&harness.request(SAFE).1))
        .collect();
    assert!(servers[..4].iter().all(|&server| server < 4), "{servers:?}");
    assert!(servers.iter().any(|&server| server >= 4), "{servers:?}");
}

#[test]
fn zone_with_all_breakers_open_is_avoided() {
    let mut harness = Harness::new(settings(), &zones(3, 3));
    harness.warm_up(40);
    harness.now += 2 * SECOND; // no server has responded within the alive window
    for _ in 0..40 {
        harness.run(SAFE, |server| {
            if server < 3 {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            }
        });
    }
    // Unsafe calls are not used as trial calls, so that all picks are ordinary ones.
    let turns = counts((0..60).filter_map(|_| harness.serve(UNSAFE, MS)));
    assert!(turns.keys().all(|&server| server >= 3), "{turns:?}");
    assert!(
        turns.keys().any(|&server| server < 6) && turns.keys().any(|&server| server >= 6),
        "{turns:?}"
    );
}

/// Guards against leaving a zone forever: a zone with all breakers open was excluded, so that no
/// breaker ever got the trial call that closes it, until the server list contained new processes.
#[test]
fn zone_with_all_breakers_open_is_tried_and_used_again() {
    for servers in [1, 3] {
        let mut list = zones(3, 3);
        list.retain(|entry| entry.zone.0 != 0 || entry.server.0 < servers);
        let mut harness = Harness::new(settings(), &list);
        harness.warm_up(40);
        harness.now += 2 * SECOND;
        for _ in 0..40 {
            harness.run(SAFE, |server| {
                if server < servers {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Ok
                }
            });
        }
        // The servers have recovered. The measured failure rates decay within about ten seconds.
        let local_calls = |harness: &mut Harness| {
            (0..100)
                .filter_map(|_| harness.serve(SAFE, 50 * MS))
                .filter(|server| *server < servers)
                .count()
        };
        for _ in 0..10 {
            local_calls(&mut harness);
        }
        assert!(local_calls(&mut harness) > 90, "{servers} servers");
    }
}
