//! Tests of the balancer table.

use woadstall_control::balancers::{BalancerHeartbeat, BalancerRenewal, BalancerTable};
use woadstall_control::merge::{MergeOutcome, REFRESH_INTERVAL_MS};
use woadstall_control::shards::short_hash;

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
fn stale_heartbeats_are_ignored_unless_the_incarnation_has_timed_out() {
    let mut balancers = BalancerTable::default();
    assert_eq!(
        balancers.merge(0, heartbeat(10, 5, true)),
        MergeOutcome::Changed
    );
    assert_eq!(
        balancers.merge(100, heartbeat(10, 4, false)),
        MergeOutcome::Stale,
        "a delayed heartbeat of the same process"
    );
    assert_eq!(
        balancers.merge(100, heartbeat(9, 9, false)),
        MergeOutcome::Stale,
        "a heartbeat of an earlier process"
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
fn a_renewal_of_another_incarnation_is_ignored() {
    let mut balancers = BalancerTable::default();
    balancers.merge(0, heartbeat(10, 5, true));
    let renewal = |incarnation, sequence| BalancerRenewal {
        name: short_hash("front-1"),
        incarnation,
        sequence,
    };
    balancers.renew(900, &[renewal(11, 9)]);
    balancers.renew(900, &[renewal(10, 5)]);
    assert_eq!(balancers.alive(1_100, 1_000).count(), 0);
    balancers.renew(900, &[renewal(10, 6)]);
    assert_eq!(balancers.alive(1_100, 1_000).count(), 1);
}

#[test]
fn a_heartbeat_is_sent_in_full_once_in_the_refresh_interval() {
    let mut balancers = BalancerTable::default();
    assert!(!balancers.take_refresh(1_000, "front-1"), "unknown");
    balancers.merge(1_000, heartbeat(10, 5, true));
    assert!(balancers.take_refresh(1_000, "front-1"));
    balancers.merge(2_000, heartbeat(10, 6, true));
    assert!(!balancers.take_refresh(999 + REFRESH_INTERVAL_MS, "front-1"));
    assert!(balancers.take_refresh(1_000 + REFRESH_INTERVAL_MS, "front-1"));
}

#[test]
fn only_balancers_that_have_not_missed_heartbeats_are_current() {
    let mut balancers = BalancerTable::default();
    balancers.merge(0, heartbeat(10, 5, true));
    assert_eq!(balancers.current(900).len(), 1);
    assert!(balancers.current(901).is_empty());
}
