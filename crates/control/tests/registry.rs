//! Tests of the upstream registry.

mod support;

use proptest::prelude::*;
use rstest::rstest;
use support::registration;
use woadstall_control::merge::{MergeOutcome, REFRESH_INTERVAL_MS};
use woadstall_control::registry::{OutdatedTimeOut, Registration, Registry, UpstreamStatus};

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

/// A message about an upstream that was ready at first.
#[derive(Clone, Copy, Debug)]
enum Message {
    Registration(u64, UpstreamStatus),
    Renewal(u64),
}

fn any_message() -> impl Strategy<Value = Message> {
    prop_oneof![
        (0..6_u64).prop_map(|sequence| Message::Registration(sequence, UpstreamStatus::Ready)),
        (0..6_u64).prop_map(|sequence| Message::Registration(sequence, UpstreamStatus::TimedOut)),
        (0..6_u64).prop_map(Message::Renewal),
    ]
}

fn status_after_messages(messages: &[Message]) -> UpstreamStatus {
    let mut registry = Registry::default();
    registry.merge(0, registration(0, UpstreamStatus::Ready));
    for message in messages {
        match *message {
            Message::Registration(sequence, status) => {
                registry.merge(0, registration(sequence, status));
            }
            Message::Renewal(sequence) => {
                registry.renew(0, "i-1", sequence);
            }
        }
    }
    registry.get(0, "i-1").unwrap().status
}

proptest! {
    /// Guards against the failure of `review/6`: a renewal that arrived after a mark of a time-out was ignored, and one that
    /// arrived before it was not.
    #[test]
    fn renewals_and_time_outs_do_not_depend_on_the_order(
        messages in prop::collection::vec(any_message(), 1..12),
        order in any::<prop::sample::Index>(),
    ) {
        let mut rotated = messages.clone();
        rotated.rotate_left(order.index(messages.len()));
        prop_assert_eq!(status_after_messages(&messages), status_after_messages(&rotated));
        rotated.reverse();
        prop_assert_eq!(status_after_messages(&messages), status_after_messages(&rotated));
    }
}

#[rstest]
#[case::ready(UpstreamStatus::Ready, MergeOutcome::Renewed)]
#[case::timed_out(UpstreamStatus::TimedOut, MergeOutcome::Changed)]
#[case::draining(UpstreamStatus::Draining, MergeOutcome::Stale)]
#[case::deregistered(UpstreamStatus::Deregistered, MergeOutcome::Stale)]
fn a_renewal_restores_only_upstreams_that_have_timed_out(
    #[case] status: UpstreamStatus,
    #[case] expected: MergeOutcome,
) {
    let mut registry = Registry::default();
    registry.merge(0, registration(3, status));
    assert_eq!(registry.renew(0, "i-1", 3), MergeOutcome::Stale);
    assert_eq!(registry.renew(0, "unknown", 4), MergeOutcome::Stale);
    assert_eq!(registry.renew(0, "i-1", 4), expected);
    let is_restored = status == UpstreamStatus::TimedOut;
    let expected = if is_restored {
        UpstreamStatus::Ready
    } else {
        status
    };
    assert_eq!(registry.get(0, "i-1").unwrap().status, expected);
}

#[test]
fn a_heartbeat_is_sent_in_full_once_in_the_refresh_interval() {
    let mut registry = Registry::default();
    assert!(!registry.take_refresh(1_000, "i-1"), "unknown");
    registry.merge(1_000, registration(1, UpstreamStatus::Ready));
    assert!(registry.take_refresh(1_000, "i-1"));
    assert!(!registry.take_refresh(999 + REFRESH_INTERVAL_MS, "i-1"));
    assert!(registry.take_refresh(1_000 + REFRESH_INTERVAL_MS, "i-1"));
}

#[test]
fn an_outdated_time_out_is_confirmed_or_contradicted() {
    let mut registry = Registry::default();
    registry.merge(0, registration(4, UpstreamStatus::Ready));
    let mark = |sequence| registration(sequence, UpstreamStatus::TimedOut);
    let mut resolve =
        |now_ms, mark: &Registration| registry.handle_outdated_time_out(now_ms, 5_000, mark);
    assert_eq!(
        resolve(5_000, &mark(4)),
        OutdatedTimeOut::Irrelevant,
        "not outdated"
    );
    let ready = registration(3, UpstreamStatus::Ready);
    assert_eq!(
        resolve(5_000, &ready),
        OutdatedTimeOut::Irrelevant,
        "no time-out"
    );
    let OutdatedTimeOut::Contradicted(missed) = resolve(5_000, &mark(3)) else {
        panic!("the heartbeat known here is not overdue");
    };
    assert_eq!((missed.sequence, missed.age_ms), (4, 5_000));
    let OutdatedTimeOut::Confirmed(confirmed) = resolve(5_001, &mark(3)) else {
        panic!("the heartbeat known here is overdue");
    };
    assert_eq!(
        (confirmed.sequence, confirmed.status),
        (4, UpstreamStatus::TimedOut)
    );
}

#[test]
fn registrations_that_no_heartbeat_repeats_are_those_not_ready_or_overdue() {
    let mut registry = Registry::default();
    registry.merge(0, registration(1, UpstreamStatus::Ready));
    assert!(registry.without_heartbeats(5_000, 5_000).is_empty());
    assert_eq!(registry.without_heartbeats(5_001, 5_000).len(), 1);
    registry.merge(5_001, registration(2, UpstreamStatus::Draining));
    assert_eq!(registry.without_heartbeats(5_001, 5_000).len(), 1);
}

/// Guards against tombstones that machines keep alive by repeating them to each other.
#[test]
fn an_expired_tombstone_is_not_learned_again() {
    let mut registry = Registry::default();
    let tombstone = |age_ms| Registration {
        age_ms,
        ..registration(3, UpstreamStatus::Deregistered)
    };
    assert_eq!(registry.merge(0, tombstone(120_001)), MergeOutcome::Stale);
    assert!(registry.is_empty());
    assert_eq!(registry.merge(0, tombstone(120_000)), MergeOutcome::Changed);
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
