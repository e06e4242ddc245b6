//! Which zone calls go to: affinity, avoidance and spillover.

use crate::common::*;
use woadstall_decisions::api::*;

/// A zone whose servers all reject looks idle by our own counts: it kept all calls of its balancers.
#[test]
fn zone_that_only_rejects_is_left() {
    let mut harness = Harness::new(settings(), &zones(2, 3));
    harness.warm_up(100);
    let mut elsewhere = 0;
    for _ in 0..20 {
        let (id, mut actions) = harness.request(SAFE);
        elsewhere += u32::from(sent_to(&actions).is_some_and(|server| server >= 3));
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
        elsewhere >= 10,
        "{elsewhere} of 20 requests went elsewhere at once"
    );
}

/// A caller with few calls has twice its usual share in flight by chance alone, and paid for crossings that helped nobody.
#[test]
fn chance_bunching_at_a_small_caller_stays_in_the_zone() {
    let mut harness = Harness::new(settings(), &zones(2, 12));
    // Calm: four calls at a time, each of 20 ms. Chance brings a few more than twice that.
    let (mut pending, mut strays) = (std::collections::VecDeque::new(), 0);
    for step in 0..2000 {
        harness.now += 5 * MS;
        while pending
            .front()
            .is_some_and(|(_, sent)| harness.now - sent >= 20 * MS)
        {
            let (id, at): (RequestId, u64) = pending.pop_front().expect("one is out");
            harness.end(id, 0, Outcome::Ok, harness.now - at);
        }
        let bunch = if step > 1000 && step % 20 == 0 { 7 } else { 1 };
        for _ in 0..bunch {
            let (id, actions) = harness.request(SAFE);
            strays += u32::from(sent_to(&actions).is_some_and(|server| server >= 12));
            pending.push_back((id, harness.now));
        }
    }
    assert_eq!(strays, 0, "calls that left a healthy zone");
}

/// A balancer that had no response yet took its first calls in flight for an overload and sent the next across zones.
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

/// A caller with few calls sees each server too seldom for a breaker, and stayed in a zone where a fifth failed.
#[test]
fn zone_with_many_failures_is_left_though_no_breaker_trips() {
    let strays = |every: u32, cross_zone_cost: f64| {
        let mut harness = Harness::new(
            Settings {
                cross_zone_cost,
                ..settings()
            },
            &zones(2, 40),
        );
        // As slow as the calls that follow: a zone that gets later has its own reason to be left.
        (0..100).for_each(|_| assert!(harness.serve(SAFE, 100 * MS).is_some()));
        let mut strays = 0;
        for call in 0..80 {
            let (id, actions) = harness.request(UNSAFE);
            let Some(server) = sent_to(&actions) else {
                continue;
            };
            strays += u32::from(server >= 40);
            harness.now += 100 * MS;
            let failed = server < 40 && call % every == 0;
            harness.end(
                id,
                0,
                if failed { Outcome::Error } else { Outcome::Ok },
                100 * MS,
            );
        }
        strays
    };
    assert_eq!(strays(30, 0.0), 0, "a few failures are no reason to leave");
    assert!(strays(4, 0.01) > 10);
    assert_eq!(strays(4, 0.5), 0, "crossings that cost more than they gain");
}

/// With hundreds of balancers each holds too few calls to reach a load threshold, while all its calls are late.
#[test]
fn small_caller_spills_over_the_surplus_of_a_slow_zone_and_no_more() {
    let mut harness = Harness::new(settings(), &zones(2, 12));
    let mut crossed = [0, 0, 0];
    for step in 0..1200 {
        let (phase, pause) = (step / 400, 400 * MS);
        let (id, actions) = harness.request(SAFE);
        let server = sent_to(&actions).expect("sent");
        crossed[phase] += u32::from(server >= 12);
        // In the second phase the own zone is late; the other is as late with what it gets in the third.
        let took = match (phase, server < 12) {
            (0, _) => 50 * MS,
            (1, false) => 50 * MS,
            _ => 250 * MS,
        };
        harness.now += took;
        harness.end(id, 0, Outcome::Ok, took);
        harness.now += pause;
    }
    assert_eq!(crossed[0], 0, "nothing crosses in calm times");
    assert!(crossed[1] > 200, "{crossed:?}");
    assert!(crossed[2] < 60, "it does not help there: {crossed:?}");
}

/// A caller with few calls finds each dead server of a lost zone by itself, and crossed to it meanwhile.
#[test]
fn zone_where_half_of_all_calls_fail_gets_no_more_of_them() {
    let mut harness = Harness::new(settings(), &zones(3, 20));
    harness.warm_up(60);
    // The own zone is left for its own failures; of the others, zone 1 is dead and zone 2 is sound.
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
        "{to_dead:?}: a lost zone is found by all calls to it together"
    );
}

#[test]
fn healthy_local_zone_gets_all_calls_in_even_turns() {
    let mut harness = Harness::new(settings(), &zones(3, 4));
    let turns = counts((0..400).filter_map(|_| harness.serve(SAFE, 20 * MS)));
    assert_eq!(turns.keys().copied().collect::<Vec<_>>(), [0, 1, 2, 3]);
    assert!(
        turns.values().all(|&n| (90..=110).contains(&n)),
        "{turns:?}"
    );
}

/// Guards small fleets: a zone of one sound server is no zone in trouble.
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
    harness.now += 2 * SECOND; // dead for so long that no answer tells otherwise
    for _ in 0..40 {
        harness.run(SAFE, |server| {
            if server < 3 {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            }
        });
    }
    // Unsafe calls are no trials, so that what is left are the ordinary picks.
    let turns = counts((0..60).filter_map(|_| harness.serve(UNSAFE, MS)));
    assert!(turns.keys().all(|&server| server >= 3), "{turns:?}");
    assert!(
        turns.keys().any(|&server| server < 6) && turns.keys().any(|&server| server >= 6),
        "{turns:?}"
    );
}

/// Guards against leaving a zone for good: dropped once all of its breakers were open, none of them ever got
/// the trial that closes it, until the list named other processes.
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
        // Its servers are well again. What is known of failures fades within some ten seconds.
        let home = |harness: &mut Harness| {
            (0..100)
                .filter_map(|_| harness.serve(SAFE, 50 * MS))
                .filter(|at| *at < servers)
                .count()
        };
        for _ in 0..10 {
            home(&mut harness);
        }
        assert!(home(&mut harness) > 90, "{servers} servers");
    }
}
