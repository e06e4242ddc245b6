//! What a fleet finds shifts new work, proves nothing, lifts no rule, and fades where it is not renewed.

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

/// With verdicts that all is well, or on what is not there, a balancer does the same as without any: to the byte.
#[test]
fn verdicts_that_all_is_well_change_nothing() {
    let list = zones(3, 4);
    let (mut plain, mut told) = (
        Harness::new(settings(), &list),
        Harness::new(settings(), &list),
    );
    for call in 0..600_usize {
        let now = told.now;
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
            zone(0, 0.0, now), // over already
        ];
        assert!(told.handle(Event::HealthVerdicts(&verdicts)).is_empty());
        let outcome = |server: u32| {
            if (server as usize + call).is_multiple_of(7) {
                Outcome::Error
            } else {
                Outcome::Ok
            }
        };
        let (a, b) = (plain.run(call % 5, outcome), told.run(call % 5, outcome));
        assert_eq!(a, b, "call {call}");
    }
}

#[test]
fn zone_without_traffic_share_gets_nothing_until_the_verdict_expires() {
    let mut harness = Harness::new(settings(), &zones(3, 4));
    harness.warm_up(40);
    let until = harness.now + 4 * SECOND;
    harness.handle(Event::HealthVerdicts(&[zone(0, 0.0, until)]));
    assert_eq!(local_calls(&mut harness, SAFE, 100), 0);
    // Other zones get it evenly, and one of them that is left as well gets none.
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

/// Never all places: where nothing else is there, what was left is better than nothing.
#[test]
fn calls_still_go_where_no_zone_has_a_traffic_share() {
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

/// A part stays as large as was said; what is only tried is tried by calls that may be sent again.
#[test]
fn traffic_shares_are_met_and_unsafe_calls_try_nothing() {
    for (share, class, least, most) in [
        (0.6, SAFE, 500, 700),
        (0.6, UNSAFE, 500, 700),
        (0.25, KEYED_ALL, 180, 320),
        (0.25, UNSAFE, 0, 0),
    ] {
        let mut harness = Harness::new(settings(), &zones(3, 4));
        harness.warm_up(40);
        let until = harness.now + 100 * SECOND;
        harness.handle(Event::HealthVerdicts(&[zone(0, share, until)]));
        let stayed = local_calls(&mut harness, class, 1000);
        assert!(
            (least..=most).contains(&stayed),
            "{share} of class {class}: {stayed}"
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
    // A new process at its address is another one.
    harness.handle(Event::ServerListChange(&[ServerEntry {
        started: Some(1),
        ..entry(2, 0)
    }]));
    let turns: Vec<u32> = (0..400)
        .filter_map(|_| harness.serve(SAFE, 20 * MS))
        .collect();
    assert!(turns.contains(&2));
}

/// A verdict on a server does not make an unsafe call that may have run one that has not.
#[test]
fn verdicts_prove_nothing_of_a_call_in_flight() {
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
        "nothing is withdrawn for it"
    );
    let actions = harness.end(id, 0, Outcome::Reset, 20 * MS);
    assert!(matches!(actions[..], [Action::Fail(_)]), "{actions:?}");
}
