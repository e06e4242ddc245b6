//! Which upstream a request goes to.

mod support;

use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::{OWN, registration, request, router_with};
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_routing::{ColdShare, Decision, Outcome, Prompt, Refusal, Router};

fn zones_of(router: &mut Router, now: u64, count: usize) -> BTreeMap<String, usize> {
    let request = request();
    let mut zones = BTreeMap::new();
    for _ in 0..count {
        let target = request.target(router, now);
        *zones.entry(target.id[..1].to_owned()).or_default() += 1;
        router.answered(now, &target.id);
        router.finish(now, &target.id, Outcome::Answered, target.reading);
    }
    zones
}

#[test]
fn the_ordinary_path_stays_in_the_region_and_goes_round() {
    let mut router = router_with(&[("n", 3), ("s", 3), ("w", 3)]);
    let request = request();
    let mut ids: Vec<String> = Vec::new();
    for _ in 0..6 {
        let target = request.target(&mut router, 0);
        assert!(target.is_near);
        ids.push(target.id.to_string());
    }
    assert_eq!(ids[..3], ids[3..]);
    assert_eq!(ids.iter().collect::<BTreeSet<_>>().len(), 3);
}

#[test]
fn a_route_with_homes_never_goes_beyond_them() {
    let mut router = router_with(&[("n", 2), ("s", 2), ("w", 2)]);
    let mut request = request();
    request.route.allowed_regions = vec!["south".to_owned(), "west".to_owned()];
    let zones: BTreeSet<String> = (0..40)
        .map(|_| request.target(&mut router, 0).id[..1].to_owned())
        .collect();
    assert_eq!(zones, ["s".to_owned(), "w".to_owned()].into());
    request.route.allowed_regions = vec!["elsewhere".to_owned()];
    assert!(matches!(
        request.choose(&mut router, 0),
        Decision::Refuse(Refusal {
            none_usable: true,
            ..
        })
    ));
}

#[rstest]
#[case::draining(UpstreamStatus::Draining)]
#[case::gone(UpstreamStatus::Deregistered)]
fn what_leaves_gets_nothing_new(#[case] status: UpstreamStatus) {
    let mut router = router_with(&[("n", 2)]);
    router.register(
        0,
        &Registration {
            status,
            sequence: 2,
            ..registration("n0", "n")
        },
    );
    let request = request();
    assert!((0..10).all(|_| &*request.target(&mut router, 0).id == "n1"));
    assert!(!router.is_usable("n0"));
    // A late heartbeat changes nothing.
    router.register(0, &registration("n0", "n"));
    assert!(!router.is_usable("n0"));
}

#[test]
fn where_all_have_fallen_silent_they_are_tried_all_the_same() {
    let mut router = router_with(&[("n", 1), ("s", 1)]);
    for id in ["n0", "s0"] {
        router.register(
            0,
            &Registration {
                status: UpstreamStatus::TimedOut,
                ..registration(id, &id[..1])
            },
        );
    }
    assert_eq!(&*request().target(&mut router, 0).id, "n0");
}

#[test]
fn an_evacuated_zone_gets_nothing_and_returns_cold() {
    let mut router = router_with(&[("n", 1), ("s", 1)]);
    let cold = |_: &str| Duration::from_secs(3);
    router.set_evacuated(0, &["n".to_owned()].into(), cold);
    assert_eq!(&*request().target(&mut router, 0).id, "s0");
    router.set_evacuated(10_000, &BTreeSet::new(), cold);
    // A cold upstream gets this balancer's share of a second, and no more.
    let request = request();
    let near = (0..40)
        .filter(|_| request.target(&mut router, 10_000).id.starts_with('n'))
        .count();
    // 21 a second by half more and five, of which 0.85 is given out and 0.75 of that to the region's three balancers.
    let share = ColdShare::of(23, "n0", OWN, &[OWN, 2, 3]).per_second;
    assert!(share == 7 || share == 8);
    assert_eq!(near, share);
}

#[test]
fn failures_open_the_breaker_and_a_trial_closes_it() {
    let mut router = router_with(&[("n", 2)]);
    for _ in 0..3 {
        router.finish(0, "n0", Outcome::Broken, 0);
    }
    let request = request();
    assert!((0..6).all(|_| &*request.target(&mut router, 100).id == "n1"));
    let later = 1_500;
    router.heard(later, "n1", 0);
    let trials = (0..6)
        .filter(|_| &*request.target(&mut router, later).id == "n0")
        .count();
    assert_eq!(trials, 1, "one request tries");
    router.answered(later + 50, "n0");
    assert!((0..6).any(|_| &*request.target(&mut router, later + 60).id == "n0"));
}

#[test]
fn refusals_as_full_are_no_failures() {
    let mut router = router_with(&[("n", 1)]);
    for _ in 0..20 {
        router.finish(0, "n0", Outcome::Rejected, 0);
    }
    assert!(matches!(
        request().choose(&mut router, 10),
        Decision::Refuse(Refusal {
            none_usable: false,
            ..
        })
    ));
    assert_eq!(&*request().target(&mut router, 200).id, "n0");
}

#[test]
fn a_region_whose_upstreams_have_all_tripped_is_left_and_returned_to() {
    let mut router = router_with(&[("n", 2), ("s", 2)]);
    for id in ["n0", "n1"] {
        (0..3).for_each(|_| router.finish(0, id, Outcome::Broken, 0));
    }
    assert_eq!(zones_of(&mut router, 10, 20), [("s".to_owned(), 20)].into());
    let back = zones_of(&mut router, 1_500, 20);
    assert!(back.contains_key("n"), "{back:?}");
}

#[test]
fn a_silent_upstream_is_passed_over_while_requests_wait_there() {
    let mut router = router_with(&[("n", 2)]);
    let request = request();
    let first = request.target(&mut router, 0);
    let other = request.target(&mut router, 0);
    router.heard(500, &other.id, 0);
    assert!((0..8).all(|_| request.target(&mut router, 700).id == other.id));
    router.heard(710, &first.id, 0);
    assert!((0..8).any(|_| request.target(&mut router, 720).id == first.id));
}

#[test]
fn a_zone_whose_upstreams_fail_together_is_left_before_each_is_tried() {
    let mut router = router_with(&[("n", 8), ("s", 2)]);
    router.heard(0, "n0", 0);
    for id in ["n1", "n2"] {
        router.finish(600, id, Outcome::Unreachable, 0);
    }
    let near = zones_of_unanswered(&mut router, 700, 10).get("n").copied();
    assert_eq!(near, Some(1), "one request tries");
    router.heard(750, "n5", 0);
    assert!(zones_of_unanswered(&mut router, 760, 10).contains_key("n"));
}

#[test]
fn where_all_zones_seem_lost_requests_are_refused_at_once_but_for_trials() {
    let mut router = router_with(&[("n", 4), ("s", 4)]);
    for id in ["n1", "n2", "s1", "s2"] {
        router.finish(600, id, Outcome::Unreachable, 0);
    }
    let request = request();
    let sent = (0..20)
        .filter(|_| matches!(request.choose(&mut router, 700), Decision::Send(_)))
        .count();
    assert_eq!(sent, 2, "one trial each");
}

#[test]
fn one_upstream_that_fails_does_not_give_up_its_zone() {
    let mut router = router_with(&[("n", 3), ("s", 2)]);
    router.finish(600, "n1", Outcome::Unreachable, 0);
    assert_eq!(
        zones_of_unanswered(&mut router, 700, 6),
        [("n".to_owned(), 6)].into()
    );
}

fn zones_of_unanswered(router: &mut Router, now: u64, count: usize) -> BTreeMap<String, usize> {
    let request = request();
    let mut zones = BTreeMap::new();
    for _ in 0..count {
        let target = request.target(router, now);
        *zones.entry(target.id[..1].to_owned()).or_default() += 1;
    }
    zones
}

#[test]
fn a_shared_prompt_goes_where_it_was_and_few_move_when_one_leaves() {
    let mut router = router_with(&[("n", 6)]);
    let mut request = request();
    let place = |router: &mut Router, request: &mut support::Request, shared: u32| {
        request.prompt = Prompt {
            shared: Some(shared),
            shared_tokens: 13_000,
            tokens: 14_000,
        };
        let target = request.target(router, 0);
        router.finish(0, &target.id, Outcome::Answered, target.reading);
        target.id.to_string()
    };
    let before: Vec<String> = (0..60)
        .map(|shared| place(&mut router, &mut request, shared))
        .collect();
    let again: Vec<String> = (0..60)
        .map(|shared| place(&mut router, &mut request, shared))
        .collect();
    assert_eq!(before, again);
    assert_eq!(
        before.iter().collect::<BTreeSet<_>>().len(),
        6,
        "all are used"
    );
    router.register(
        0,
        &Registration {
            status: UpstreamStatus::Draining,
            sequence: 2,
            ..registration("n3", "n")
        },
    );
    for (shared, old) in before.iter().enumerate() {
        let new = place(&mut router, &mut request, shared as u32);
        assert!(
            old == "n3" || new == *old,
            "a prompt moved though its upstream stayed"
        );
    }
}

#[test]
fn a_kept_prompt_counts_only_for_what_is_new() {
    let mut router = router_with(&[("n", 1)]);
    let mut request = request();
    request.prompt = Prompt {
        shared: Some(5),
        shared_tokens: 13_000,
        tokens: 14_000,
    };
    assert_eq!(request.target(&mut router, 0).reading, 14_000);
    assert_eq!(request.target(&mut router, 0).reading, 1_000);
}

#[test]
fn short_requests_avoid_who_reads_a_long_prompt() {
    let mut router = router_with(&[("n", 2)]);
    let mut long = request();
    long.prompt = Prompt {
        shared: None,
        shared_tokens: 0,
        tokens: 20_000,
    };
    let reader = long.target(&mut router, 0);
    let short = request();
    assert!((0..6).all(|_| short.target(&mut router, 10).id != reader.id));
    router.heard(20, &reader.id, reader.reading);
    assert!((0..6).any(|_| short.target(&mut router, 30).id == reader.id));
}

#[test]
fn a_request_is_never_sent_twice_to_one_upstream() {
    let mut router = router_with(&[("n", 1), ("s", 1)]);
    let mut request = request();
    let first = request.target(&mut router, 0);
    request.tried.push(first.id.clone());
    let second = request.target(&mut router, 0);
    assert_ne!(first.id, second.id);
    request.tried.push(second.id);
    assert!(matches!(
        request.choose(&mut router, 0),
        Decision::Refuse(_)
    ));
}

#[test]
fn a_refusal_says_when_to_come_back() {
    let mut router = router_with(&[]);
    let Decision::Refuse(refusal) = request().choose(&mut router, 0) else {
        panic!("nobody is there")
    };
    assert!(refusal.retry_after >= Duration::from_millis(200));
    assert!(refusal.none_usable);
}

#[test]
fn a_new_snapshot_forgets_nobody_at_once() {
    let mut router = router_with(&[("n", 2)]);
    router.snapshot(0, &[registration("n0", "n")]);
    router.sweep(9_000);
    assert!(router.is_usable("n1"));
    router.sweep(10_001);
    assert!(!router.is_usable("n1"));
    assert!(router.is_usable("n0"));
}

#[rstest]
#[case::no_answer(Outcome::Broken)]
#[case::own_error(Outcome::Error)]
#[case::time_out(Outcome::TimedOut)]
fn consecutive_failures_of_any_kind_open_the_breaker(#[case] outcome: Outcome) {
    let mut router = router_with(&[("n", 2)]);
    for _ in 0..3 {
        // An error is a sign of life, but no success.
        router.heard(0, "n0", 0);
        router.finish(0, "n0", outcome, 0);
    }
    let request = request();
    assert!((0..6).all(|_| &*request.target(&mut router, 100).id == "n1"));
}

#[rstest]
#[case::client_left(Outcome::Withdrawn)]
#[case::full(Outcome::Rejected)]
fn what_says_nothing_of_health_opens_no_breaker(#[case] outcome: Outcome) {
    let mut router = router_with(&[("n", 2)]);
    for _ in 0..6 {
        router.finish(0, "n0", outcome, 0);
    }
    let request = request();
    assert!((0..6).any(|_| &*request.target(&mut router, 200).id == "n0"));
}

#[rstest]
#[case::client_left(Outcome::Withdrawn)]
#[case::connection_broke(Outcome::Broken)]
#[case::time_out(Outcome::TimedOut)]
fn a_request_given_up_on_a_silent_upstream_opens_its_breaker(#[case] outcome: Outcome) {
    let mut router = router_with(&[("n", 2)]);
    let request = request();
    let waiting = std::iter::repeat_with(|| request.target(&mut router, 0))
        .find(|target| &*target.id == "n0");
    let waiting = waiting.unwrap();
    router.heard(1_400, "n1", 0);
    router.finish(1_500, "n0", outcome, waiting.reading);
    assert!((0..6).all(|_| &*request.target(&mut router, 1_600).id == "n1"));
}
