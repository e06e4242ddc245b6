//! Registrations, shards, balancers and the feed.

mod upstreams;

use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;
use upstreams::registration;
use woadstall_control::balancers::{BalancerHeartbeat, BalancerRenewal, BalancerTable};
use woadstall_control::command::Command;
use woadstall_control::feed::{EventJournal, FeedEvent};
use woadstall_control::merge::MergeOutcome;
use woadstall_control::registry::{Registration, Registry, UpstreamStatus};
use woadstall_control::shards::{SHARDS, monitors, replica_group, shard_of, short_hash};

fn status_after(steps: &[(u64, UpstreamStatus)]) -> UpstreamStatus {
    let mut registry = Registry::default();
    for (sequence, status) in steps {
        registry.merge(0, registration(*sequence, *status));
    }
    registry.get(0, "i-1").unwrap().status
}

#[rstest]
#[case::late_ready(&[(1, UpstreamStatus::Ready), (3, UpstreamStatus::Draining), (2, UpstreamStatus::Ready)], UpstreamStatus::Draining)]
#[case::ready_again(&[(3, UpstreamStatus::Draining), (4, UpstreamStatus::Ready)], UpstreamStatus::Ready)]
#[case::gone_stays(&[(3, UpstreamStatus::Deregistered), (9, UpstreamStatus::Ready)], UpstreamStatus::Deregistered)]
#[case::gone_beats_a_higher_number(&[(9, UpstreamStatus::Ready), (3, UpstreamStatus::Deregistered)], UpstreamStatus::Deregistered)]
#[case::silent_until_heard(&[(3, UpstreamStatus::Ready), (3, UpstreamStatus::TimedOut), (4, UpstreamStatus::Ready)], UpstreamStatus::Ready)]
#[case::silent_against_old_news(&[(3, UpstreamStatus::TimedOut), (3, UpstreamStatus::Ready)], UpstreamStatus::TimedOut)]
fn the_newest_word_holds(
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
    fn machines_that_hear_the_same_agree_whatever_the_order(
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
fn a_heartbeat_that_says_nothing_new_is_only_a_renewal() {
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
    let cold = Registration {
        slow_start_remaining_ms: 3_000,
        ..registration(3, UpstreamStatus::Ready)
    };
    assert_eq!(registry.merge(2_000, cold), MergeOutcome::Changed);
    let warming = Registration {
        slow_start_remaining_ms: 2_000,
        ..registration(4, UpstreamStatus::Ready)
    };
    assert_eq!(registry.merge(3_000, warming), MergeOutcome::Renewed);
    assert_eq!(
        registry.get(4_000, "i-1").unwrap().slow_start_remaining_ms,
        1_000
    );
}

#[test]
fn only_the_owner_judges_silence_and_only_after_the_time() {
    let mut registry = Registry::default();
    registry.merge(0, registration(1, UpstreamStatus::Ready));
    assert!(registry.time_out(5_000, 5_000, |_| true).is_empty());
    assert!(registry.time_out(5_001, 5_000, |_| false).is_empty());
    assert_eq!(registry.time_out(5_001, 5_000, |_| true).len(), 1);
    assert!(
        registry.time_out(9_000, 5_000, |_| true).is_empty(),
        "it is told once"
    );
    registry.merge(9_100, registration(2, UpstreamStatus::Ready));
    assert_eq!(
        registry.get(9_100, "i-1").unwrap().status,
        UpstreamStatus::Ready
    );
}

#[test]
fn a_renewal_heard_by_another_machine_counts() {
    let mut registry = Registry::default();
    registry.merge(0, registration(1, UpstreamStatus::Ready));
    registry.renew(4_000, "i-1", 5);
    registry.renew(4_000, "never", 5);
    assert!(registry.time_out(6_000, 5_000, |_| true).is_empty());
}

#[test]
fn what_left_is_forgotten_in_the_end() {
    let mut registry = Registry::default();
    registry.merge(0, registration(1, UpstreamStatus::Ready));
    registry.deregister(0, "i-1");
    registry.forget(60_000);
    assert_eq!(
        registry.len(),
        1,
        "a late heartbeat must not bring it back yet"
    );
    registry.forget(121_000);
    assert!(registry.is_empty());
}

#[test]
fn one_that_left_unknown_is_remembered_and_keeps_what_is_known_of_others() {
    let mut registry = Registry::default();
    assert_eq!(registry.deregister(0, "i-1"), MergeOutcome::Changed);
    assert_eq!(registry.deregister(0, "i-1"), MergeOutcome::Stale);
    assert_eq!(
        registry.merge(10, registration(9, UpstreamStatus::Ready)),
        MergeOutcome::Stale,
        "a late heartbeat"
    );
    assert_eq!(
        registry.get(10, "i-1").unwrap().status,
        UpstreamStatus::Deregistered
    );
    // What another machine tells of it that did not know it either takes nothing from one that does.
    let departed = registry.get(10, "i-1").unwrap();
    let mut other = Registry::default();
    other.merge(0, registration(9, UpstreamStatus::Ready));
    assert_eq!(other.merge(10, departed), MergeOutcome::Changed);
    let kept = other.get(10, "i-1").unwrap();
    assert_eq!(
        (kept.status, kept.address.as_str(), kept.sequence),
        (UpstreamStatus::Deregistered, "10.0.0.1:80", 9)
    );
}

#[rstest]
#[case::fresh(1_000, UpstreamStatus::Ready, UpstreamStatus::Ready)]
#[case::old(61_000, UpstreamStatus::Ready, UpstreamStatus::TimedOut)]
#[case::old_and_leaving(61_000, UpstreamStatus::Draining, UpstreamStatus::Draining)]
fn old_news_of_an_unknown_upstream_is_not_believed(
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
    let heard = registry.get(100_100, "i-1").unwrap();
    assert_eq!(
        (heard.status, heard.age_ms),
        (UpstreamStatus::Ready, 0),
        "its own heartbeat is"
    );
}

fn machines(count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("10.0.{number}.1:7720"))
        .collect()
}

fn owners(machines: &[String]) -> Vec<&str> {
    (0..SHARDS)
        .map(|shard| replica_group(shard, machines.iter().map(String::as_str), 3)[0])
        .collect()
}

#[test]
fn shards_are_spread_and_few_move() {
    let nine = machines(9);
    let before = owners(&nine);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    before
        .iter()
        .for_each(|owner| *counts.entry(owner).or_default() += 1);
    let most = *counts.values().max().unwrap();
    assert!(
        most <= 3 * SHARDS as usize / 9,
        "one machine owns {most} of {SHARDS}"
    );
    let lost = &nine[4];
    let eight: Vec<String> = nine
        .iter()
        .filter(|machine| *machine != lost)
        .cloned()
        .collect();
    for (old, new) in before.iter().zip(owners(&eight)) {
        assert!(
            old == lost || *old == new,
            "a shard moved though its owner stayed"
        );
    }
    assert!(shard_of("any") < SHARDS);
}

#[test]
fn monitors_are_a_few_and_stay_when_others_go() {
    let nine = machines(9);
    let of = |name: &str, machines: &[String]| -> Vec<String> {
        monitors(name, machines.iter().map(String::as_str), 3)
            .into_iter()
            .map(str::to_owned)
            .collect()
    };
    let before = of("front-1", &nine);
    assert_eq!(before.len(), 3);
    let other = nine
        .iter()
        .find(|machine| !before.contains(machine))
        .unwrap();
    let eight: Vec<String> = nine
        .iter()
        .filter(|machine| *machine != other)
        .cloned()
        .collect();
    assert_eq!(of("front-1", &eight), before);
    let used: std::collections::BTreeSet<String> = (0..60)
        .flat_map(|number| of(&format!("front-{number}"), &nine))
        .collect();
    assert!(used.len() >= 7, "few machines monitor all");
}

fn heartbeat(incarnation: u64, sequence: u64, ready: bool) -> BalancerHeartbeat {
    let (name, address, zone) = (
        "front-1".to_owned(),
        "10.0.0.1:80".to_owned(),
        "z".to_owned(),
    );
    BalancerHeartbeat {
        name,
        incarnation,
        sequence,
        address,
        zone,
        ready,
    }
}

#[test]
fn late_heartbeats_and_clocks_that_step_back_mislead_nobody() {
    let mut balancers = BalancerTable::default();
    assert_eq!(
        balancers.merge(0, heartbeat(10, 5, true)),
        MergeOutcome::Changed
    );
    assert_eq!(
        balancers.merge(100, heartbeat(10, 4, false)),
        MergeOutcome::Stale,
        "late"
    );
    assert_eq!(
        balancers.merge(100, heartbeat(9, 9, false)),
        MergeOutcome::Stale,
        "of an earlier process"
    );
    assert_eq!(
        balancers.merge(150, heartbeat(10, 6, true)),
        MergeOutcome::Renewed
    );
    assert_eq!(
        balancers.merge(200, heartbeat(11, 1, false)),
        MergeOutcome::Changed
    );
    assert_eq!(
        balancers.merge(2_000, heartbeat(8, 1, true)),
        MergeOutcome::Changed,
        "a new process whose clock is behind"
    );
    assert_eq!(balancers.alive(2_500, 1_000).count(), 1);
    assert_eq!(balancers.alive(3_500, 1_000).count(), 0);
}

#[test]
fn news_of_another_incarnation_renews_nobody() {
    let mut balancers = BalancerTable::default();
    balancers.merge(0, heartbeat(10, 5, true));
    let news = |incarnation, sequence| BalancerRenewal {
        name: short_hash("front-1"),
        incarnation,
        sequence,
    };
    balancers.renew(900, &[news(11, 9)]);
    balancers.renew(900, &[news(10, 5)]);
    assert_eq!(balancers.alive(1_100, 1_000).count(), 0);
    balancers.renew(900, &[news(10, 6)]);
    assert_eq!(balancers.alive(1_100, 1_000).count(), 1);
}

fn event(number: u64) -> FeedEvent {
    FeedEvent::Registered(registration(number, UpstreamStatus::Ready))
}

#[test]
fn a_feed_goes_on_from_an_offset_or_begins_anew() {
    let mut journal = EventJournal::new(7);
    (1..=5).for_each(|number| journal.append(event(number)));
    assert_eq!(journal.events_since(7, 3).unwrap(), [event(4), event(5)]);
    assert!(journal.events_since(7, 5).unwrap().is_empty());
    assert_eq!(journal.events_since(7, 6), None, "an offset of the future");
    assert_eq!(journal.events_since(8, 3), None, "another epoch");
}

#[test]
fn a_reader_too_far_behind_gets_no_tail() {
    const BYTES: usize = 600 << 10;
    let mut journal = EventJournal::new(7);
    for index in 1..=6 {
        journal.append(FeedEvent::Committed {
            index,
            command: Command::Put {
                base: 0,
                body: vec![0; BYTES],
            },
        });
    }
    assert_eq!(journal.end_offset(), 6);
    assert_eq!(journal.events_since(7, 0), None);
    assert_eq!(journal.events_since(7, 5).unwrap().len(), 1);
}
