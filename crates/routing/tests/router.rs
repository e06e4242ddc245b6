//! Tests of upstream selection by the router.

mod support;

use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::{OWN, registration, request, router_with};
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_routing::{Decision, Outcome, Prompt, Rejection, Router, WarmupQuota};

fn request_zones(router: &mut Router, now: u64, count: usize) -> BTreeMap<String, usize> {
    let request = request();
    let mut zones = BTreeMap::new();
    for _ in 0..count {
        let target = request.target(router, now);
        *zones.entry(target.id[..1].to_owned()).or_default() += 1;
        router.record_response(now, &target.id);
        router.finish(now, &target.id, Outcome::Answered, target.prefill_tokens);
    }
    zones
}

#[test]
fn requests_stay_in_the_region_by_round_robin() {
    let mut router = router_with(&[("n", 3), ("s", 3), ("w", 3)]);
    let request = request();
    let mut ids: Vec<String> = Vec::new();
    for _ in 0..6 {
        let target = request.target(&mut router, 0);
        assert!(target.is_local_region);
        ids.push(target.id.to_string());
    }
    assert_eq!(ids[..3], ids[3..]);
    assert_eq!(ids.iter().collect::<BTreeSet<_>>().len(), 3);
}

#[test]
fn a_route_stays_within_its_allowed_regions() {
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
        Decision::Reject(Rejection {
            no_usable_upstream: true,
            ..
        })
    ));
}

#[rstest]
#[case::draining(UpstreamStatus::Draining)]
#[case::deregistered(UpstreamStatus::Deregistered)]
fn a_draining_or_deregistered_upstream_gets_no_request(#[case] status: UpstreamStatus) {
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
    // A heartbeat that arrives late must not make the upstream usable again.
    router.register(0, &registration("n0", "n"));
    assert!(!router.is_usable("n0"));
}

#[test]
fn unresponsive_upstreams_are_used_where_there_are_no_others() {
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
fn an_evacuated_zone_gets_no_request_and_warms_up_when_it_returns() {
    let mut router = router_with(&[("n", 1), ("s", 1)]);
    let warmup = |_: &str| Duration::from_secs(3);
    router.set_evacuated_zones(0, &["n".to_owned()].into(), warmup);
    assert_eq!(&*request().target(&mut router, 0).id, "s0");
    router.set_evacuated_zones(10_000, &BTreeSet::new(), warmup);
    // An upstream that is warming up receives exactly this balancer's quota of requests per second.
    let request = request();
    let local_requests = (0..40)
        .filter(|_| request.target(&mut router, 10_000).id.starts_with('n'))
        .count();
    // The bound is 21 * 1.5 + 5 requests per second. 0.85 of the bound is allocated, and 0.75 of
    // the allocation goes to the three balancers of the region.
    let quota = WarmupQuota::of_balancer(23, "n0", OWN, &[OWN, 2, 3]).per_second;
    assert!(quota == 7 || quota == 8);
    assert_eq!(local_requests, quota);
}

#[test]
fn failures_open_the_breaker_and_a_successful_trial_closes_it() {
    let mut router = router_with(&[("n", 2)]);
    for _ in 0..3 {
        router.finish(0, "n0", Outcome::ConnectionError, 0);
    }
    let request = request();
    assert!((0..6).all(|_| &*request.target(&mut router, 100).id == "n1"));
    let later = 1_500;
    router.record_activity(later, "n1", 0);
    let trials = (0..6)
        .filter(|_| &*request.target(&mut router, later).id == "n0")
        .count();
    assert_eq!(trials, 1, "one trial request");
    router.record_response(later + 50, "n0");
    assert!((0..6).any(|_| &*request.target(&mut router, later + 60).id == "n0"));
}

#[test]
fn rejections_for_lack_of_capacity_open_no_breaker() {
    let mut router = router_with(&[("n", 1)]);
    for _ in 0..20 {
        router.finish(0, "n0", Outcome::Rejected, 0);
    }
    assert!(matches!(
        request().choose(&mut router, 10),
        Decision::Reject(Rejection {
            no_usable_upstream: false,
            ..
        })
    ));
    assert_eq!(&*request().target(&mut router, 200).id, "n0");
}

#[test]
fn a_region_is_avoided_while_all_its_breakers_are_open() {
    let mut router = router_with(&[("n", 2), ("s", 2)]);
    for id in ["n0", "n1"] {
        (0..3).for_each(|_| router.finish(0, id, Outcome::ConnectionError, 0));
    }
    assert_eq!(
        request_zones(&mut router, 10, 20),
        [("s".to_owned(), 20)].into()
    );
    let zones = request_zones(&mut router, 1_500, 20);
    assert!(zones.contains_key("n"), "{zones:?}");
}

#[test]
fn an_unresponsive_upstream_is_skipped_while_requests_are_pending_there() {
    let mut router = router_with(&[("n", 2)]);
    let request = request();
    let first = request.target(&mut router, 0);
    let other = request.target(&mut router, 0);
    router.record_activity(500, &other.id, 0);
    assert!((0..8).all(|_| request.target(&mut router, 700).id == other.id));
    router.record_activity(710, &first.id, 0);
    assert!((0..8).any(|_| request.target(&mut router, 720).id == first.id));
}

#[test]
fn a_zone_outage_is_detected_before_each_upstream_is_tried() {
    let mut router = router_with(&[("n", 8), ("s", 2)]);
    router.record_activity(0, "n0", 0);
    for id in ["n1", "n2"] {
        router.finish(600, id, Outcome::ConnectFailed, 0);
    }
    let local_requests = request_zones_without_responses(&mut router, 700, 10)
        .get("n")
        .copied();
    assert_eq!(local_requests, Some(1), "one trial request");
    router.record_activity(750, "n5", 0);
    assert!(request_zones_without_responses(&mut router, 760, 10).contains_key("n"));
}

#[test]
fn only_trial_requests_are_sent_while_all_zones_are_down() {
    let mut router = router_with(&[("n", 4), ("s", 4)]);
    for id in ["n1", "n2", "s1", "s2"] {
        router.finish(600, id, Outcome::ConnectFailed, 0);
    }
    let request = request();
    let sent = (0..20)
        .filter(|_| matches!(request.choose(&mut router, 700), Decision::Forward(_)))
        .count();
    assert_eq!(sent, 2, "one trial request per zone");
}

#[test]
fn one_failing_upstream_does_not_count_as_a_zone_outage() {
    let mut router = router_with(&[("n", 3), ("s", 2)]);
    router.finish(600, "n1", Outcome::ConnectFailed, 0);
    assert_eq!(
        request_zones_without_responses(&mut router, 700, 6),
        [("n".to_owned(), 6)].into()
    );
}

fn request_zones_without_responses(
    router: &mut Router,
    now: u64,
    count: usize,
) -> BTreeMap<String, usize> {
    let request = request();
    let mut zones = BTreeMap::new();
    for _ in 0..count {
        let target = request.target(router, now);
        *zones.entry(target.id[..1].to_owned()).or_default() += 1;
    }
    zones
}

#[test]
fn a_shared_prefix_moves_to_another_upstream_only_when_its_upstream_drains() {
    let mut router = router_with(&[("n", 6)]);
    let mut request = request();
    let send = |router: &mut Router, request: &mut support::Request, prefix_hash: u32| {
        request.prompt = Prompt {
            prefix_hash: Some(prefix_hash),
            prefix_tokens: 13_000,
            total_tokens: 14_000,
        };
        let target = request.target(router, 0);
        router.finish(0, &target.id, Outcome::Answered, target.prefill_tokens);
        target.id.to_string()
    };
    let before: Vec<String> = (0..60)
        .map(|prefix_hash| send(&mut router, &mut request, prefix_hash))
        .collect();
    let again: Vec<String> = (0..60)
        .map(|prefix_hash| send(&mut router, &mut request, prefix_hash))
        .collect();
    assert_eq!(before, again);
    assert_eq!(
        before.iter().collect::<BTreeSet<_>>().len(),
        6,
        "the prefixes are spread over all upstreams"
    );
    router.register(
        0,
        &Registration {
            status: UpstreamStatus::Draining,
            sequence: 2,
            ..registration("n3", "n")
        },
    );
    for (prefix_hash, old) in before.iter().enumerate() {
        let new = send(&mut router, &mut request, prefix_hash as u32);
        assert!(
            old == "n3" || new == *old,
            "a prefix moved although its upstream is still ready"
        );
    }
}

#[test]
fn a_cached_prefix_is_not_counted_as_prefill() {
    let mut router = router_with(&[("n", 1)]);
    let mut request = request();
    request.prompt = Prompt {
        prefix_hash: Some(5),
        prefix_tokens: 13_000,
        total_tokens: 14_000,
    };
    assert_eq!(request.target(&mut router, 0).prefill_tokens, 14_000);
    assert_eq!(request.target(&mut router, 0).prefill_tokens, 1_000);
}

#[test]
fn short_requests_avoid_an_upstream_that_prefills_a_long_prompt() {
    let mut router = router_with(&[("n", 2)]);
    let mut long = request();
    long.prompt = Prompt {
        prefix_hash: None,
        prefix_tokens: 0,
        total_tokens: 20_000,
    };
    let prefilling = long.target(&mut router, 0);
    let short = request();
    assert!((0..6).all(|_| short.target(&mut router, 10).id != prefilling.id));
    router.record_activity(20, &prefilling.id, prefilling.prefill_tokens);
    assert!((0..6).any(|_| short.target(&mut router, 30).id == prefilling.id));
}

#[test]
fn a_request_never_goes_to_one_upstream_twice() {
    let mut router = router_with(&[("n", 1), ("s", 1)]);
    let mut request = request();
    let first = request.target(&mut router, 0);
    request.tried.push(first.id.clone());
    let second = request.target(&mut router, 0);
    assert_ne!(first.id, second.id);
    request.tried.push(second.id);
    assert!(matches!(
        request.choose(&mut router, 0),
        Decision::Reject(_)
    ));
}

#[test]
fn a_rejection_says_when_to_retry() {
    let mut router = router_with(&[]);
    let Decision::Reject(rejection) = request().choose(&mut router, 0) else {
        panic!("a request was forwarded without any upstream")
    };
    assert!(rejection.retry_after >= Duration::from_millis(200));
    assert!(rejection.no_usable_upstream);
}

#[test]
fn a_snapshot_removes_no_upstream_at_once() {
    let mut router = router_with(&[("n", 2)]);
    router.apply_snapshot(0, &[registration("n0", "n")]);
    router.sweep(9_000);
    assert!(router.is_usable("n1"));
    router.sweep(10_001);
    assert!(!router.is_usable("n1"));
    assert!(router.is_usable("n0"));
}

#[rstest]
#[case::connection_error(Outcome::ConnectionError)]
#[case::upstream_error(Outcome::UpstreamError)]
#[case::timed_out(Outcome::TimedOut)]
fn consecutive_failures_of_any_kind_open_the_breaker(#[case] outcome: Outcome) {
    let mut router = router_with(&[("n", 2)]);
    for _ in 0..3 {
        // An error counts as activity of the upstream, but not as a success.
        router.record_activity(0, "n0", 0);
        router.finish(0, "n0", outcome, 0);
    }
    let request = request();
    assert!((0..6).all(|_| &*request.target(&mut router, 100).id == "n1"));
}

#[rstest]
#[case::client_disconnected(Outcome::Cancelled)]
#[case::no_capacity(Outcome::Rejected)]
fn cancelled_and_rejected_requests_open_no_breaker(#[case] outcome: Outcome) {
    let mut router = router_with(&[("n", 2)]);
    for _ in 0..6 {
        router.finish(0, "n0", outcome, 0);
    }
    let request = request();
    assert!((0..6).any(|_| &*request.target(&mut router, 200).id == "n0"));
}

#[rstest]
#[case::client_disconnected(Outcome::Cancelled)]
#[case::connection_broke(Outcome::ConnectionError)]
#[case::timed_out(Outcome::TimedOut)]
fn an_attempt_abandoned_at_an_unresponsive_upstream_opens_its_breaker(#[case] outcome: Outcome) {
    let mut router = router_with(&[("n", 2)]);
    let request = request();
    let waiting = std::iter::repeat_with(|| request.target(&mut router, 0))
        .find(|target| &*target.id == "n0");
    let waiting = waiting.unwrap();
    router.record_activity(1_400, "n1", 0);
    router.finish(1_500, "n0", outcome, waiting.prefill_tokens);
    assert!((0..6).all(|_| &*request.target(&mut router, 1_600).id == "n1"));
}
