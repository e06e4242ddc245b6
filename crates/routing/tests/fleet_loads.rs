//! What balancers near each other tell of upstreams, and how much of it is believed.

mod support;

use rstest::rstest;
use support::{request, router_with};
use woadstall_control::loads::{FleetLoad, FleetLoads, PrefixPlacement, UpstreamLoad};
use woadstall_control::shards::short_hash;
use woadstall_routing::{Outcome, Prompt, Router};

fn told(id: &str, unread: u32, failing: u16) -> FleetLoad {
    FleetLoad {
        upstream: short_hash(id),
        pending_prefill_tokens: unread,
        failing_balancers: failing,
    }
}

fn tell(router: &mut Router, now: u64, upstreams: &[FleetLoad]) {
    router.set_fleet_loads(
        now,
        &FleetLoads {
            upstreams: upstreams.to_vec(),
            placements: Vec::new(),
        },
    );
}

fn sends_to(router: &mut Router, now: u64, id: &str) -> bool {
    let request = request();
    (0..6).any(|_| {
        let target = request.target(router, now);
        router.finish(now, &target.id, Outcome::Withdrawn, target.reading);
        &*target.id == id
    })
}

#[rstest]
#[case::nobody(0, true)]
#[case::one_balancer(1, true)]
#[case::two_balancers(2, false)]
fn an_upstream_that_fails_with_others_is_passed_over(#[case] failing: u16, #[case] is_used: bool) {
    let mut router = router_with(&[("n", 3)]);
    tell(&mut router, 1_000, &[told("n0", 0, failing)]);
    assert_eq!(sends_to(&mut router, 1_000, "n0"), is_used);
}

#[rstest]
#[case::heard_just_before(500, true)]
#[case::heard_long_before(300, false)]
fn what_was_seen_here_is_stronger_than_what_is_told(#[case] heard: u64, #[case] is_used: bool) {
    let mut router = router_with(&[("n", 3)]);
    router.heard(heard, "n0", 0);
    tell(&mut router, 1_000, &[told("n0", 0, 9)]);
    assert_eq!(sends_to(&mut router, 1_000, "n0"), is_used);
    // What comes afterwards, too.
    router.answered(1_010, "n0");
    assert!(sends_to(&mut router, 1_010, "n0"));
}

#[test]
fn what_was_told_ages_and_is_replaced() {
    let mut router = router_with(&[("n", 3)]);
    tell(&mut router, 1_000, &[told("n0", 0, 5)]);
    assert!(!sends_to(&mut router, 1_700, "n0"));
    assert!(
        sends_to(&mut router, 1_701, "n0"),
        "told for the last time 0.7 s ago"
    );
    tell(&mut router, 2_000, &[told("n0", 0, 5)]);
    tell(&mut router, 2_100, &[]);
    assert!(sends_to(&mut router, 2_100, "n0"));
}

#[test]
fn where_all_are_said_to_fail_they_are_tried_all_the_same() {
    let mut router = router_with(&[("n", 2)]);
    tell(&mut router, 1_000, &[told("n0", 0, 5), told("n1", 0, 5)]);
    assert!(sends_to(&mut router, 1_000, "n0"));
}

#[test]
fn short_requests_avoid_who_reads_for_other_balancers() {
    let mut router = router_with(&[("n", 3)]);
    tell(&mut router, 0, &[told("n0", 20_000, 0)]);
    assert!(!sends_to(&mut router, 0, "n0"));
    tell(
        &mut router,
        0,
        &[
            told("n0", 20_000, 0),
            told("n1", 20_000, 0),
            told("n2", 20_000, 0),
        ],
    );
    assert!(sends_to(&mut router, 0, "n0"), "a preference, and no bar");
}

#[test]
fn a_balancer_tells_of_long_reading_and_of_failures() {
    let mut router = router_with(&[("n", 2)]);
    assert_eq!(router.load(0), []);
    let mut long = request();
    long.prompt = Prompt {
        shared: None,
        shared_tokens: 0,
        tokens: 20_000,
    };
    let reader = long.target(&mut router, 0);
    let load = UpstreamLoad {
        upstream: short_hash(&reader.id),
        pending_prefill_tokens: 20_000,
        is_failing: false,
    };
    assert_eq!(router.load(100), [load]);
    assert_eq!(
        router.load(601),
        [UpstreamLoad {
            is_failing: true,
            ..load
        }],
        "silent for long"
    );
    router.heard(700, &reader.id, 20_000);
    assert_eq!(router.load(700), []);
    router.finish(700, &reader.id, Outcome::Answered, 0);
    (0..3).for_each(|_| router.finish(700, &reader.id, Outcome::Broken, 0));
    assert_eq!(
        router.load(710),
        [UpstreamLoad {
            pending_prefill_tokens: 0,
            is_failing: true,
            ..load
        }],
        "its breaker is open"
    );
}

/// The upstream that is ranked first for a prompt keeps its beginning or is to keep it: it is waited for in proportion.
#[rstest]
#[case::a_short_queue(20_000, true)]
#[case::a_long_queue(31_000, false)]
fn a_prompt_waits_for_its_holder_as_long_as_reading_it_elsewhere_would_cost(
    #[case] unread: u32,
    #[case] waits: bool,
) {
    let mut router = router_with(&[("n", 4)]);
    let mut quote = request();
    quote.prompt = Prompt {
        shared: Some(5),
        shared_tokens: 10_000,
        tokens: 12_000,
    };
    let first = quote.target(&mut router, 0);
    router.finish(0, &first.id, Outcome::Withdrawn, first.reading);
    tell(&mut router, 10, &[told(&first.id, unread, 0)]);
    let again = quote.target(&mut router, 10);
    assert_eq!(again.id == first.id, waits);
    // Where all have much to read, the one with the least takes it.
    let all: Vec<FleetLoad> = (0..4)
        .map(|number| told(&format!("n{number}"), 90_000 - 1_000 * number, 0))
        .collect();
    tell(&mut router, 20, &all);
    assert_eq!(&*quote.target(&mut router, 20).id, "n3");
}

fn quote(beginning: u32) -> support::Request {
    let mut quote = request();
    quote.prompt = Prompt {
        shared: Some(beginning),
        shared_tokens: 10_000,
        tokens: 12_000,
    };
    quote
}

#[test]
fn a_prompt_goes_where_another_balancer_has_placed_its_beginning() {
    let mut router = router_with(&[("n", 4)]);
    let quote = quote(5);
    let first = quote.target(&mut router, 0).id;
    let other = ["n0", "n1", "n2", "n3"]
        .into_iter()
        .find(|id| **id != *first)
        .unwrap();
    let mut informed = router_with(&[("n", 4)]);
    let upstream = short_hash(other);
    let placements = vec![PrefixPlacement {
        number: 1,
        upstream,
        prefix: 5,
        prefix_tokens: 10_000,
        suffix_tokens: 20,
    }];
    informed.set_fleet_loads(
        0,
        &FleetLoads {
            upstreams: Vec::new(),
            placements,
        },
    );
    assert_eq!(&*quote.target(&mut informed, 10).id, other);
}

#[test]
fn a_placement_is_told_for_a_moment() {
    let mut router = router_with(&[("n", 1)]);
    let quote = quote(5);
    quote.target(&mut router, 0);
    let told = router.placements(400);
    let number = told[0].number;
    let upstream = short_hash("n0");
    assert_eq!(
        told,
        [PrefixPlacement {
            number,
            upstream,
            prefix: 5,
            prefix_tokens: 10_000,
            suffix_tokens: 2_000
        }]
    );
    assert_eq!(router.placements(401), []);
}

/// Whoever has been told of placements for long, without a pause, knows that a beginning has not been placed.
#[rstest]
#[case::told_for_long(12_000, 2_000, true)]
#[case::told_for_a_short_time(8_000, 2_000, false)]
#[case::told_with_pauses(15_000, 5_000, false)]
fn a_beginning_that_nobody_keeps_goes_where_least_is_read(
    #[case] until: u64,
    #[case] period: usize,
    #[case] is_known: bool,
) {
    let mut router = router_with(&[("n", 4)]);
    let quote = quote(5);
    let first = quote.target(&mut router_with(&[("n", 4)]), 0).id;
    for now in (0..=until).step_by(period) {
        tell(&mut router, now, &[told(&first, 5_000, 0)]);
    }
    let chosen = quote.target(&mut router, until).id;
    assert_eq!(chosen != first, is_known);
}

#[test]
fn placements_that_nobody_asks_for_are_bounded() {
    let mut router = router_with(&[("n", 1)]);
    for beginning in 0..1_000 {
        let target = quote(beginning).target(&mut router, 0);
        router.finish(0, &target.id, Outcome::Answered, target.reading);
    }
    assert_eq!(router.placements(0).len(), 64, "a report holds so many");
}
