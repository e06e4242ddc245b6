//! Tests of the upstream registry.

mod support;

use proptest::prelude::*;
use rstest::rstest;
use support::registration;
use woadstall_control::merge::MergeOutcome;
use woadstall_control::registry::{Registration, Registry, UpstreamStatus};

fn status_after(steps: &[(u64, UpstreamStatus)]) -> UpstreamStatus {
    let mut registry = Registry::default();
    for (sequence, status) in steps {
        registry.merge(0, registration(*sequence, *status));
    }
    registry.get(0, "i-1").unwrap().status
}

#[rstest]
#[case::delayed_ready(&[(1, UpstreamStatus::Ready), (3, UpstreamStatus::Draining), (2, UpstreamStatus::Ready)], UpstreamStatus::Draining)]
#[case::ready_again(&[(3, UpstreamStatus::Draining), (4, UpstreamStatus::Ready)], UpstreamStatus::Ready)]
#[case::deregistered_is_final(&[(3, UpstreamStatus::Deregistered), (9, UpstreamStatus::Ready)], UpstreamStatus::Deregistered)]
#[case::deregistered_wins_over_a_higher_sequence_number(&[(9, UpstreamStatus::Ready), (3, UpstreamStatus::Deregistered)], UpstreamStatus::Deregistered)]
#[case::timed_out_until_the_next_heartbeat(&[(3, UpstreamStatus::Ready), (3, UpstreamStatus::TimedOut), (4, UpstreamStatus::Ready)], UpstreamStatus::Ready)]
#[case::timed_out_despite_a_repeated_heartbeat(&[(3, UpstreamStatus::TimedOut), (3, UpstreamStatus::Ready)], UpstreamStatus::TimedOut)]
fn the_newest_registration_wins(
    #[case] steps: &[(u64, UpstreamStatus)],
    #[case] expected: UpstreamStatus,
) {
    assert_eq!(status_after(steps), expected);
}

fn any_status() -> impl Strategy<Value = UpstreamStatus> {
    prop_oneof![
        Just(UpstreamStatus::Ready),
        Just(UpstreamStatus::TimedOut),
        Just(UpstreamStatus::Draining),
        Just(UpstreamStatus::Deregistered)
    ]
}

proptest! {
    #[test]
    fn merging_does_not_depend_on_the_order(
        steps in prop::collection::vec((0..6_u64, any_status()), 1..12),
        order in any::<prop::sample::Index>(),
    ) {
        let mut rotated = steps.clone();
        rotated.rotate_left(order.index(steps.len()));
        prop_assert_eq!(status_after(&steps), status_after(&rotated));
        rotated.reverse();
        prop_assert_eq!(status_after(&steps), status_after(&rotated));
    }
}

#[test]
fn an_unchanged_heartbeat_is_only_a_renewal() {
    let mut registry = Registry::default();
    assert_eq!(
        registry.merge(0, registration(1, UpstreamStatus::Ready)),
        MergeOutcome::Changed
    );
    assert_eq!(
        registry.merge(1_000, registration(2, UpstreamStatus::Ready)),
        MergeOutcome::Renewed
    );
    assert_eq!(
        registry.merge(1_000, registration(2, UpstreamStatus::Ready)),
        MergeOutcome::Stale
    );
    let restarted = Registration {
        slow_start_remaining_ms: 3_000,
        ..registration(3, UpstreamStatus::Ready)
    };
    assert_eq!(registry.merge(2_000, restarted), MergeOutcome::Changed);
    let still_warming_up = Registration {
        slow_start_remaining_ms: 2_000,
        ..registration(4, UpstreamStatus::Ready)
    };
    assert_eq!(
        registry.merge(3_000, still_warming_up),
        MergeOutcome::Renewed
    );
    assert_eq!(
        registry.get(4_000, "i-1").unwrap().slow_start_remaining_ms,
        1_000
    );
}

#[test]
fn an_overdue_upstream_is_timed_out_once_by_the_owner() {
    let mut registry = Registry::default();
    registry.merge(0, registration(1, UpstreamStatus::Ready));
    assert!(registry.time_out(5_000, 5_000, |_| true).is_empty());
    assert!(registry.time_out(5_001, 5_000, |_| false).is_empty());
    assert_eq!(registry.time_out(5_001, 5_000, |_| true).len(), 1);
    assert!(
        registry.time_out(9_000, 5_000, |_| true).is_empty(),
        "a time-out is reported only once"
    );
    registry.merge(9_100, registration(2, UpstreamStatus::Ready));
    assert_eq!(
        registry.get(9_100, "i-1").unwrap().status,
        UpstreamStatus::Ready
    );
}

#[test]
fn a_renewal_received_by_another_machine_prevents_the_time_out() {
    let mut registry = Registry::default();
    registry.merge(0, registration(1, UpstreamStatus::Ready));
    registry.renew(4_000, "i-1", 5);
    registry.renew(4_000, "unknown", 5);
    assert!(registry.time_out(6_000, 5_000, |_| true).is_empty());
}

#[test]
fn tombstones_expire() {
    let mut registry = Registry::default();
    registry.merge(0, registration(1, UpstreamStatus::Ready));
    registry.deregister(0, "i-1");
    registry.remove_expired(60_000);
    assert_eq!(
        registry.len(),
        1,
        "the tombstone is retained against delayed heartbeats"
    );
    registry.remove_expired(121_000);
    assert!(registry.is_empty());
}

#[test]
fn a_deregistration_of_an_unknown_upstream_is_remembered() {
    let mut registry = Registry::default();
    assert_eq!(registry.deregister(0, "i-1"), MergeOutcome::Changed);
    assert_eq!(registry.deregister(0, "i-1"), MergeOutcome::Stale);
    assert_eq!(
        registry.merge(10, registration(9, UpstreamStatus::Ready)),
        MergeOutcome::Stale,
        "a delayed heartbeat"
    );
    assert_eq!(
        registry.get(10, "i-1").unwrap().status,
        UpstreamStatus::Deregistered
    );
    // Another machine that knows the upstream changes only the status of its record.
    let deregistered = registry.get(10, "i-1").unwrap();
    let mut other = Registry::default();
    other.merge(0, registration(9, UpstreamStatus::Ready));
    assert_eq!(other.merge(10, deregistered), MergeOutcome::Changed);
    let merged = other.get(10, "i-1").unwrap();
    assert_eq!(
        (merged.status, merged.address.as_str(), merged.sequence),
        (UpstreamStatus::Deregistered, "10.0.0.1:80", 9)
    );
}

#[rstest]
#[case::fresh(1_000, UpstreamStatus::Ready, UpstreamStatus::Ready)]
#[case::old(61_000, UpstreamStatus::Ready, UpstreamStatus::TimedOut)]
#[case::old_and_draining(61_000, UpstreamStatus::Draining, UpstreamStatus::Draining)]
fn an_old_registration_of_an_unknown_upstream_counts_as_timed_out(
    #[case] age_ms: u64,
    #[case] status: UpstreamStatus,
    #[case] expected: UpstreamStatus,
) {
    let mut registry = Registry::default();
    registry.merge(
        100_000,
        Registration {
            age_ms,
            ..registration(3, status)
        },
    );
    let merged = registry.get(100_000, "i-1").unwrap();
    assert_eq!((merged.status, merged.age_ms), (expected, age_ms));
    registry.merge(100_100, registration(4, UpstreamStatus::Ready));
    let renewed = registry.get(100_100, "i-1").unwrap();
    assert_eq!(
        (renewed.status, renewed.age_ms),
        (UpstreamStatus::Ready, 0),
        "a heartbeat of the upstream makes it ready"
    );
}
