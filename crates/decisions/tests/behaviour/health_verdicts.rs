//! Tests of the fleet's health evidence: it shifts new calls only, overrides no rule, and expires
//! unless it is renewed.

use crate::common::*;
use woadstall_decisions::api::*;

fn zone(zone: u8, share: f32, until: u64) -> HealthVerdict {
    HealthVerdict {
        domain: FailureDomain::Zone(ZoneId(zone), None),
        share,
        until,
    }
}

fn local_calls(harness: &mut Harness, class: usize, calls: u32) -> usize {
    (0..calls)
        .filter(|_| {
            harness
                .serve(class, 20 * MS)
                .is_some_and(|server| server < 4)
        })
        .count()
}

/// With verdicts of a full share, on unknown domains or already expired, a balancer takes exactly
/// the same actions as without verdicts.
#[test]
fn verdicts_without_effect_change_nothing() {
    let list = zones(3, 4);
    let (mut without_verdicts, mut with_verdicts) = (
        Harness::new(settings(), &list),
        Harness::new(settings(), &list),
    );
    for call in 0..600_usize {
        let now = with_verdicts.now;
        let verdicts = [
            zone(0, 1.0, now + SECOND),
            zone(9, 0.0, now + SECOND),
            HealthVerdict {
                domain: FailureDomain::Server(ServerId(77)),
                share: 0.0,
                until: now + SECOND,
            },
            HealthVerdict {
                domain: FailureDomain::Zone(ZoneId(1), Some(99)),
                share: 0.0,
                until: now + SECOND,
            },
            zone(0, 0.0, now), // already expired
        ];
        assert!(
            with_verdicts
                .handle(Event::HealthVerdicts(&verdicts))
                .is_empty()
        );
        let outcome = |server: u32| {
            if (server as usize + call).is_multiple_of(7) {
                Outcome::Error
            } else {
                Outcome::Ok
            }
        };
        let expected = without_verdicts.run(call % 5, outcome);
        let actual = with_verdicts.run(call % 5, outcome);
        assert_eq!(expected, actual, "call {call}");
    }
}

#[test]
fn zone_without_traffic_share_gets_nothing_until_the_verdict_expires() {
    let mut harness = Harness::new(settings(), &zones(3, 4));
    harness.warm_up(40);
    let until = harness.now + 4 * SECOND;
    harness.handle(Event::HealthVerdicts(&[zone(0, 0.0, until)]));
    assert_eq!(local_calls(&mut harness, SAFE, 100), 0);
    // The calls go to the other zones, and if one of these has no share either, to the third zone.
    harness.handle(Event::HealthVerdicts(&[zone(1, 0.0, until)]));
    let third = (0..60)
        .filter(|_| {
            harness
                .serve(SAFE, 20 * MS)
                .is_some_and(|server| server >= 8)
        })
        .count();
    assert_eq!(third, 60);
    harness.now = until;
    assert_eq!(local_calls(&mut harness, SAFE, 100), 100);
}

/// Guards against rejecting all calls when verdicts leave no zone any traffic: the zones are then
/// used nevertheless.
#[test]
fn calls_are_served_if_no_zone_has_a_traffic_share() {
    let mut harness = Harness::new(settings(), &zones(3, 4));
    harness.warm_up(40);
    let until = harness.now + 40 * SECOND;
    harness.handle(Event::HealthVerdicts(&[
        zone(0, 0.0, until),
        zone(1, 0.0, until),
        zone(2, 0.0, until),
    ]));
    assert!((0..60).all(|_| harness.serve(SAFE, 20 * MS).is_some()));
}

/// A zone gets the share of traffic that its verdict states. A zone on trial gets only calls that
/// may be sent again.
#[test]
fn traffic_shares_are_met_and_unsafe_calls_avoid_zones_on_trial() {
    for (share, class, min_calls, max_calls) in [
        (0.6, SAFE, 500, 700),
        (0.6, UNSAFE, 500, 700),
        (0.25, KEYED_ALL, 180, 320),
        (0.25, UNSAFE, 0, 0),
    ] {
        let mut harness = Harness::new(settings(), &zones(3, 4));
        harness.warm_up(40);
        let until = harness.now + 100 * SECOND;
        harness.handle(Event::HealthVerdicts(&[zone(0, share, until)]));
        let local = local_calls(&mut harness, class, 1000);
        assert!(
            (min_calls..=max_calls).contains(&local),
            "{share} of class {class}: {local}"
        );
    }
}

#[test]
fn verdicts_apply_to_a_class_or_a_server_alone() {
    let mut harness = Harness::new(settings(), &zones(3, 4));
    harness.warm_up(40);
    let until = harness.now + 100 * SECOND;
    let class = HealthVerdict {
        domain: FailureDomain::Zone(ZoneId(0), Some(UNSAFE)),
        share: 0.0,
        until,
    };
    harness.handle(Event::HealthVerdicts(&[class]));
    assert_eq!(
        (
            local_calls(&mut harness, UNSAFE, 60),
            local_calls(&mut harness, SAFE, 60)
        ),
        (0, 60)
    );
    let server = HealthVerdict {
        domain: FailureDomain::Server(ServerId(2)),
        share: 0.0,
        until,
    };
    harness.handle(Event::HealthVerdicts(&[server]));
    let turns: Vec<u32> = (0..90)
        .filter_map(|_| harness.serve(SAFE, 20 * MS))
        .collect();
    assert!(
        !turns.contains(&2) && turns.iter().all(|server| *server < 4),
        "{turns:?}"
    );
    // The verdict does not apply to a new process of the server.
    harness.handle(Event::ServerListChange(&[ServerEntry {
        started: Some(1),
        ..entry(2, 0)
    }]));
    let turns: Vec<u32> = (0..400)
        .filter_map(|_| harness.serve(SAFE, 20 * MS))
        .collect();
    assert!(turns.contains(&2));
}

/// Guards rule 2: a verdict on a server does not prove that an unsafe call in flight has not run.
#[test]
fn verdicts_prove_nothing_about_a_call_in_flight() {
    let mut harness = Harness::new(settings(), &zones(3, 4));
    harness.warm_up(40);
    let (id, actions) = harness.request(UNSAFE);
    let server = sent_to(&actions).unwrap();
    let until = harness.now + 10 * SECOND;
    let verdict = HealthVerdict {
        domain: FailureDomain::Server(ServerId(server)),
        share: 0.0,
        until,
    };
    assert!(
        harness
            .handle(Event::HealthVerdicts(&[verdict, zone(0, 0.0, until)]))
            .is_empty(),
        "no attempt is withdrawn because of a verdict"
    );
    let actions = harness.end(id, 0, Outcome::Reset, 20 * MS);
    assert!(matches!(actions[..], [Action::Fail(_)]), "{actions:?}");
}
