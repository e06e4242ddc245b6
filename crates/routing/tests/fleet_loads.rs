//! Tests of the load reports between balancers and of their precedence over own observations.

mod support;

use rstest::rstest;
use support::{request, router_with};
use woadstall_control::loads::{FleetLoad, FleetLoads, PrefixPlacement, UpstreamLoad};
use woadstall_control::shards::short_hash;
use woadstall_routing::{Outcome, Prompt, Router};

fn reported(id: &str, backlog_tokens: u32, failing_balancers: u16) -> FleetLoad {
    FleetLoad {
        upstream: short_hash(id),
        pending_prefill_tokens: backlog_tokens,
        failing_balancers,
    }
}

fn report(router: &mut Router, now: u64, upstreams: &[FleetLoad]) {
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
        router.finish(now, &target.id, Outcome::Cancelled, target.prefill_tokens);
        &*target.id == id
    })
}

#[rstest]
#[case::no_balancer(0, true)]
#[case::one_balancer(1, true)]
#[case::two_balancers(2, false)]
fn an_upstream_that_others_report_as_failing_is_skipped(
    #[case] failing_balancers: u16,
    #[case] is_used: bool,
) {
    let mut router = router_with(&[("n", 3)]);
    report(&mut router, 1_000, &[reported("n0", 0, failing_balancers)]);
    assert_eq!(sends_to(&mut router, 1_000, "n0"), is_used);
}

#[rstest]
#[case::activity_just_before(500, true)]
#[case::activity_long_before(300, false)]
fn own_observations_outweigh_reports(#[case] last_activity_ms: u64, #[case] is_used: bool) {
    let mut router = router_with(&[("n", 3)]);
    router.record_activity(last_activity_ms, "n0", 0);
    report(&mut router, 1_000, &[reported("n0", 0, 9)]);
    assert_eq!(sends_to(&mut router, 1_000, "n0"), is_used);
    // Activity after the report overrides the report as well.
    router.record_response(1_010, "n0");
    assert!(sends_to(&mut router, 1_010, "n0"));
}

#[test]
fn reports_expire_and_are_replaced() {
    let mut router = router_with(&[("n", 3)]);
    report(&mut router, 1_000, &[reported("n0", 0, 5)]);
    assert!(!sends_to(&mut router, 1_700, "n0"));
    assert!(
        sends_to(&mut router, 1_701, "n0"),
        "the report expires after 0.7 s"
    );
    report(&mut router, 2_000, &[reported("n0", 0, 5)]);
    report(&mut router, 2_100, &[]);
    assert!(sends_to(&mut router, 2_100, "n0"));
}

#[test]
fn upstreams_are_used_where_all_are_reported_as_failing() {
    let mut router = router_with(&[("n", 2)]);
    report(
        &mut router,
        1_000,
        &[reported("n0", 0, 5), reported("n1", 0, 5)],
    );
    assert!(sends_to(&mut router, 1_000, "n0"));
}

#[test]
fn short_requests_avoid_an_upstream_that_prefills_for_other_balancers() {
    let mut router = router_with(&[("n", 3)]);
    report(&mut router, 0, &[reported("n0", 20_000, 0)]);
    assert!(!sends_to(&mut router, 0, "n0"));
    report(
        &mut router,
        0,
        &[
            reported("n0", 20_000, 0),
            reported("n1", 20_000, 0),
            reported("n2", 20_000, 0),
        ],
    );
    assert!(
        sends_to(&mut router, 0, "n0"),
        "a long backlog is avoided only if another upstream has a shorter one"
    );
}

#[test]
fn long_prefill_backlogs_and_failures_are_reported() {
    let mut router = router_with(&[("n", 2)]);
    assert_eq!(router.upstream_loads(0), []);
    let mut long = request();
    long.prompt = Prompt {
        prefix_hash: None,
        prefix_tokens: 0,
        total_tokens: 20_000,
    };
    let prefilling = long.target(&mut router, 0);
    let load = UpstreamLoad {
        upstream: short_hash(&prefilling.id),
        pending_prefill_tokens: 20_000,
        is_failing: false,
    };
    assert_eq!(router.upstream_loads(100), [load]);
    assert_eq!(
        router.upstream_loads(601),
        [UpstreamLoad {
            is_failing: true,
            ..load
        }],
        "unresponsive"
    );
    router.record_activity(700, &prefilling.id, 20_000);
    assert_eq!(router.upstream_loads(700), []);
    router.finish(700, &prefilling.id, Outcome::Answered, 0);
    (0..3).for_each(|_| router.finish(700, &prefilling.id, Outcome::ConnectionError, 0));
    assert_eq!(
        router.upstream_loads(710),
        [UpstreamLoad {
            pending_prefill_tokens: 0,
            is_failing: true,
            ..load
        }],
        "its breaker is open"
    );
}

/// Guards against the loss of cache locality when the preferred upstream is busy.
///
/// The upstream that ranks first for a prefix has it cached or will cache it. A request therefore
/// waits for that upstream while its backlog is short in proportion to the prefix.
#[rstest]
#[case::a_short_queue(20_000, true)]
#[case::a_long_queue(31_000, false)]
fn a_prompt_waits_for_its_cache_owner_while_the_backlog_is_short(
    #[case] backlog_tokens: u32,
    #[case] expects_owner: bool,
) {
    let mut router = router_with(&[("n", 4)]);
    let mut request = request();
    request.prompt = Prompt {
        prefix_hash: Some(5),
        prefix_tokens: 10_000,
        total_tokens: 12_000,
    };
    let first = request.target(&mut router, 0);
    router.finish(0, &first.id, Outcome::Cancelled, first.prefill_tokens);
    report(&mut router, 10, &[reported(&first.id, backlog_tokens, 0)]);
    let again = request.target(&mut router, 10);
    assert_eq!(again.id == first.id, expects_owner);
    // If the backlogs of all upstreams are long, the upstream with the shortest backlog is
    // selected.
    let long_backlogs: Vec<FleetLoad> = (0..4)
        .map(|number| reported(&format!("n{number}"), 90_000 - 1_000 * number, 0))
        .collect();
    report(&mut router, 20, &long_backlogs);
    assert_eq!(&*request.target(&mut router, 20).id, "n3");
}

fn prompt_with_prefix(prefix_hash: u32) -> support::Request {
    let mut request = request();
    request.prompt = Prompt {
        prefix_hash: Some(prefix_hash),
        prefix_tokens: 10_000,
        total_tokens: 12_000,
    };
    request
}

#[test]
fn a_prompt_goes_where_another_balancer_has_placed_its_prefix() {
    let mut router = router_with(&[("n", 4)]);
    let request = prompt_with_prefix(5);
    let first = request.target(&mut router, 0).id;
    let other = ["n0", "n1", "n2", "n3"]
        .into_iter()
        .find(|id| **id != *first)
        .unwrap();
    let mut informed_router = router_with(&[("n", 4)]);
    let upstream = short_hash(other);
    let placements = vec![PrefixPlacement {
        number: 1,
        upstream,
        prefix: 5,
        prefix_tokens: 10_000,
        suffix_tokens: 20,
    }];
    informed_router.set_fleet_loads(
        0,
        &FleetLoads {
            upstreams: Vec::new(),
            placements,
        },
    );
    assert_eq!(&*request.target(&mut informed_router, 10).id, other);
}

#[test]
fn a_placement_is_reported_for_400_ms() {
    let mut router = router_with(&[("n", 1)]);
    let request = prompt_with_prefix(5);
    request.target(&mut router, 0);
    let recent = router.recent_placements(400);
    let number = recent[0].number;
    let upstream = short_hash("n0");
    assert_eq!(
        recent,
        [PrefixPlacement {
            number,
            upstream,
            prefix: 5,
            prefix_tokens: 10_000,
            suffix_tokens: 2_000
        }]
    );
    assert_eq!(router.recent_placements(401), []);
}

/// Guards against routing by presumed placements when the actual ones are known.
///
/// A balancer that has received placement reports for long enough without a gap knows whether any
/// balancer has placed a prefix.
#[rstest]
#[case::reported_for_long(12_000, 2_000, true)]
#[case::reported_for_a_short_time(8_000, 2_000, false)]
#[case::reported_with_gaps(15_000, 5_000, false)]
fn a_prefix_that_is_cached_nowhere_goes_to_the_shortest_backlog(
    #[case] until: u64,
    #[case] period: usize,
    #[case] expects_other_upstream: bool,
) {
    let mut router = router_with(&[("n", 4)]);
    let request = prompt_with_prefix(5);
    let first = request.target(&mut router_with(&[("n", 4)]), 0).id;
    for now in (0..=until).step_by(period) {
        report(&mut router, now, &[reported(&first, 5_000, 0)]);
    }
    let chosen = request.target(&mut router, until).id;
    assert_eq!(chosen != first, expects_other_upstream);
}

#[test]
fn unreported_placements_are_bounded() {
    let mut router = router_with(&[("n", 1)]);
    for prefix_hash in 0..1_000 {
        let target = prompt_with_prefix(prefix_hash).target(&mut router, 0);
        router.finish(0, &target.id, Outcome::Answered, target.prefill_tokens);
    }
    assert_eq!(
        router.recent_placements(0).len(),
        64,
        "a report contains at most 64 placements"
    );
}
