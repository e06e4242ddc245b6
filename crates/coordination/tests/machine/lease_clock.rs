//! The clock of the state over changes of leadership: leases end no earlier than their holders
//! expect, and soon after that.

use crate::calls_support::{acquire, acquired, next_number};
use crate::cluster::Cluster;
use rstest::rstest;
use woadstall_coordination::machine::{LogEvent, Response};
use woadstall_coordination::outcome::Outcome;

/// How often an idle leader records the time at least, in milliseconds.
const CHECKPOINT_INTERVAL_MS: u64 = 500;
/// How often the competitor asks for the lock, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 50;
/// A commit and the answer, in milliseconds.
const ROUND_TRIP_MS: u64 = 60;

/// Asks the running machines in turn for a lock until it is acquired, and returns the time.
fn acquire_at_last(cluster: &mut Cluster, lock: &str, owner: &str) -> u64 {
    let end = cluster.now + 60_000;
    while cluster.now < end {
        let running = cluster.running();
        let id = running[(cluster.now / RETRY_INTERVAL_MS) as usize % running.len()];
        let token = cluster.submit_command(id, acquire(lock, owner, 60_000));
        cluster.run(RETRY_INTERVAL_MS);
        let response = cluster.response(token);
        if let Some(Response::Executed(Outcome::LockAcquired { .. })) = response {
            return cluster.now;
        }
    }
    panic!("the lock was not acquired within a minute");
}

#[rstest]
#[case::one_machine(1)]
#[case::three_machines(3)]
fn a_lease_ends_at_its_time_under_one_leader(#[case] count: u64) {
    let (mut cluster, leader) = Cluster::with_leader(count);
    let sent = cluster.now;
    assert_eq!(
        cluster.execute(leader, acquire("l", "a", 3_000)),
        acquired(1)
    );
    let granted = cluster.now;
    let acquired_at = acquire_at_last(&mut cluster, "l", "b");
    assert!(acquired_at >= sent + 3_000);
    assert!(acquired_at <= granted + 3_000 + RETRY_INTERVAL_MS + ROUND_TRIP_MS);
}

#[rstest]
#[case::one_loss(1)]
#[case::two_losses(2)]
fn a_lease_outlives_the_loss_of_leaders_by_the_time_without_one(
    #[case] losses: u64,
    #[values(0, 170, 330, 1_000)] until_loss_ms: u64,
) {
    const HOLD_MS: u64 = 5_000;
    let (mut cluster, mut leader) = Cluster::with_leader(5);
    let sent = cluster.now;
    assert_eq!(
        cluster.execute(leader, acquire("l", "a", HOLD_MS)),
        acquired(1)
    );
    let granted = cluster.now;
    let mut outage_ms = 0;
    for _ in 0..losses {
        cluster.run(until_loss_ms);
        let lost_at = cluster.now;
        cluster.stop(leader);
        leader = cluster.await_leader();
        outage_ms += cluster.now - lost_at + CHECKPOINT_INTERVAL_MS;
    }
    let acquired_at = acquire_at_last(&mut cluster, "l", "b");
    assert!(
        acquired_at >= sent + HOLD_MS,
        "{} ms early",
        sent + HOLD_MS - acquired_at
    );
    let latest = granted + HOLD_MS + outage_ms + RETRY_INTERVAL_MS + 2 * ROUND_TRIP_MS;
    assert!(acquired_at <= latest, "{} ms late", acquired_at - latest);
}

// Frozen leaders wake with a clock that has gone on, and have proposals of their own.
#[test]
fn the_clock_of_the_state_never_runs_ahead_and_never_back() {
    let (mut cluster, mut leader) = Cluster::with_leader(3);
    let start = cluster.now;
    cluster.execute(leader, acquire("l", "a", 600_000));
    let mut clocks = [0; 3];
    let check = |cluster: &Cluster, clocks: &mut [u64; 3]| {
        for (id, clock) in (1..).zip(clocks.iter_mut()) {
            let now = cluster.machine(id).state().clock_ms();
            assert!(now >= *clock, "the clock of machine {id} went back");
            assert!(
                now <= cluster.now - start,
                "the clock of machine {id} is ahead"
            );
            *clock = now;
        }
    };
    for frozen_ms in [3_000, 500, 6_000, 1_600] {
        cluster.submit_command(leader, next_number("n"));
        cluster.freeze(leader);
        for _ in 0..frozen_ms / 100 {
            cluster.run(100);
            check(&cluster, &mut clocks);
        }
        cluster.thaw(leader);
        for _ in 0..20 {
            cluster.submit_command(leader, next_number("n"));
            cluster.run(100);
            check(&cluster, &mut clocks);
        }
        leader = cluster.await_leader();
    }
    // While there is a leader, the clock goes on.
    let before = cluster.machine(leader).state().clock_ms();
    cluster.run(5_000);
    let elapsed_ms = cluster.machine(leader).state().clock_ms() - before;
    assert!(elapsed_ms >= 5_000 - CHECKPOINT_INTERVAL_MS - ROUND_TRIP_MS);
}

#[test]
fn an_idle_leader_records_the_time_on_all_machines() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.execute(leader, acquire("l", "a", 60_000));
    cluster.run(100);
    for _ in 0..10 {
        let clocks = [1, 2, 3].map(|id| cluster.machine(id).state().clock_ms());
        cluster.run(CHECKPOINT_INTERVAL_MS + ROUND_TRIP_MS);
        for (id, before) in (1..).zip(clocks) {
            let clock_ms = cluster.machine(id).state().clock_ms();
            assert!(clock_ms >= before + CHECKPOINT_INTERVAL_MS, "machine {id}");
        }
    }
    let batches = cluster.machine(leader).status().counters.batches;
    assert!(batches <= 13, "{batches} batches");
}

#[test]
fn a_group_without_leases_writes_nothing_while_idle() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.execute(leader, acquire("l", "a", 1_000));
    cluster.run(2_000);
    assert_eq!(cluster.machine(leader).status().state.leases, 0);
    let batches = cluster.machine(leader).status().counters.batches;
    let last_index = cluster.machine(leader).replica().log().last_index();
    cluster.run(10_000);
    assert_eq!(cluster.machine(leader).status().counters.batches, batches);
    assert_eq!(
        cluster.machine(leader).replica().log().last_index(),
        last_index
    );
}

#[test]
fn an_expiry_is_counted_everywhere_and_logged_by_the_leader() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.execute(leader, acquire("l", "a", 1_000));
    cluster.run(1_000 + CHECKPOINT_INTERVAL_MS + ROUND_TRIP_MS);
    for id in [1, 2, 3] {
        assert_eq!(cluster.machine(id).status().counters.expired_leases, 1);
    }
    let is_expiry = |event: &&LogEvent| matches!(event, LogEvent::LeaseExpired { .. });
    assert_eq!(cluster.log.iter().filter(is_expiry).count(), 1);
}
