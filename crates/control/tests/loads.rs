//! Tests of recording and combining the load reports of balancers.

use rstest::rstest;
use woadstall_control::loads::{FleetLoad, LoadReport, LoadReports, PrefixPlacement, UpstreamLoad};

const UPSTREAM: u32 = 7;

fn report(balancer: u32, zone: &str, pending_tokens: u32, is_failing: bool) -> LoadReport {
    let upstreams = vec![UpstreamLoad {
        upstream: UPSTREAM,
        pending_prefill_tokens: pending_tokens,
        is_failing,
    }];
    LoadReport {
        balancer,
        sequence: 10,
        zone: zone.to_owned(),
        upstreams,
        placements: Vec::new(),
    }
}

fn loads_of(loads: &LoadReports, zone: &str) -> Vec<FleetLoad> {
    loads
        .for_zone(zone, |other| other.starts_with('n'))
        .upstreams
}

#[test]
fn pending_prefill_is_summed_over_the_region_and_failures_over_the_zone() {
    let mut loads = LoadReports::default();
    loads.record(0, report(1, "n1", 4_000, true));
    loads.record(0, report(2, "n1", 5_000, true));
    loads.record(0, report(3, "n2", 6_000, true));
    loads.record(0, report(4, "s1", 9_000, true));
    assert_eq!(
        loads_of(&loads, "n1"),
        [FleetLoad {
            upstream: UPSTREAM,
            pending_prefill_tokens: 15_000,
            failing_balancers: 2
        }]
    );
    assert_eq!(
        loads_of(&loads, "n2"),
        [FleetLoad {
            upstream: UPSTREAM,
            pending_prefill_tokens: 15_000,
            failing_balancers: 1
        }]
    );
}

#[test]
fn a_report_replaces_the_previous_one_of_its_balancer() {
    let mut loads = LoadReports::default();
    loads.record(0, report(1, "n1", 4_000, true));
    loads.record(
        10,
        LoadReport {
            sequence: 11,
            upstreams: Vec::new(),
            ..report(1, "n1", 0, false)
        },
    );
    assert!(loads_of(&loads, "n1").is_empty());
    // A delayed report with a lower sequence number is ignored.
    loads.record(20, report(1, "n1", 4_000, true));
    assert!(loads_of(&loads, "n1").is_empty());
}

/// The newest report of a balancer expires, even if the balancer's time of day steps back at a
/// restart and its later reports have lower sequence numbers.
#[rstest]
#[case::valid(800, 1)]
#[case::expired(801, 0)]
fn reports_expire(#[case] now: u64, #[case] expected: usize) {
    let mut loads = LoadReports::default();
    loads.record(0, report(1, "n1", 4_000, true));
    loads.remove_expired(now);
    assert_eq!(loads_of(&loads, "n1").len(), expected);
    loads.record(
        now,
        LoadReport {
            sequence: 1,
            ..report(1, "n1", 5_000, false)
        },
    );
    let pending_tokens = loads_of(&loads, "n1")[0].pending_prefill_tokens;
    assert_eq!(pending_tokens, if expected == 1 { 4_000 } else { 5_000 });
}

#[test]
fn sums_of_pending_tokens_saturate() {
    let mut loads = LoadReports::default();
    loads.record(0, report(1, "n1", u32::MAX, true));
    loads.record(0, report(2, "n1", u32::MAX, true));
    assert_eq!(loads_of(&loads, "n1")[0].pending_prefill_tokens, u32::MAX);
}

#[test]
fn each_placement_of_a_region_is_listed_once() {
    let mut loads = LoadReports::default();
    let first = PrefixPlacement {
        number: 1,
        upstream: UPSTREAM,
        prefix: 1,
        prefix_tokens: 9_000,
        suffix_tokens: 20,
    };
    let second = PrefixPlacement {
        number: 2,
        prefix: 2,
        ..first
    };
    loads.record(
        0,
        LoadReport {
            placements: vec![first, second],
            ..report(1, "n1", 0, false)
        },
    );
    loads.record(
        0,
        LoadReport {
            placements: vec![second],
            ..report(2, "n2", 0, false)
        },
    );
    loads.record(
        0,
        LoadReport {
            placements: vec![first],
            ..report(3, "s1", 0, false)
        },
    );
    let combined = loads.for_zone("n2", |zone| zone.starts_with('n'));
    assert_eq!(combined.placements, [first, second]);
    loads.remove_expired(801);
    assert!(loads.for_zone("n2", |_| true).is_empty());
}
