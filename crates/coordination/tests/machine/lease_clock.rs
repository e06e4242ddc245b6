//! The state's clock across leadership changes. A lease must not end earlier than its owner
//! expects, and must end soon afterwards.

use crate::calls_support::{acquire, acquired, next_number};
use crate::cluster::Cluster;
use rstest::rstest;
use woadstall_coordination::machine::{LogEvent, Response};
use woadstall_coordination::outcome::Outcome;

/// The maximum interval at which an idle leader records the elapsed time, in milliseconds.
const CHECKPOINT_INTERVAL_MS: u64 = 500;
/// The interval at which the competing client requests the lock, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 50;
/// The maximum time for a commit and the response, in milliseconds.
const ROUND_TRIP_MS: u64 = 60;

/// Requests a lock from the running machines in turn until the lock is acquired. Returns the time
/// of the acquisition.
fn acquire_with_retries(cluster: &mut Cluster, lock: &str, owner: &str) -> u64 {
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
fn a_lease_expires_on_time_under_one_leader(#[case] count: u64) {
    let (mut cluster, leader) = Cluster::with_leader(count);
    let sent = cluster.now;
    assert_eq!(
        cluster.execute(leader, acquire("l", "a", 3_000)),
        acquired(1)
    );
    let granted = cluster.now;
    let acquired_at = acquire_with_retries(&mut cluster, "l", "b");
    assert!(acquired_at >= sent + 3_000);
    assert!(acquired_at <= granted + 3_000 + RETRY_INTERVAL_MS + ROUND_TRIP_MS);
}

#[rstest]
#[case::one_failure(1)]
#[case::two_failures(2)]
fn leader_failures_extend_a_lease_by_at_most_the_time_without_a_leader(
    #[case] failures: u64,
    #[values(0, 170, 330, 1_000)] until_failure_ms: u64,
) {
    const LEASE_MS: u64 = 5_000;
    let (mut cluster, mut leader) = Cluster::with_leader(5);
    let sent = cluster.now;
    assert_eq!(
        cluster.execute(leader, acquire("l", "a", LEASE_MS)),
        acquired(1)
    );
    let granted = cluster.now;
    let mut outage_ms = 0;
    for _ in 0..failures {
        cluster.run(until_failure_ms);
        let failed_at = cluster.now;
        cluster.stop(leader);
        leader = cluster.await_leader();
        outage_ms += cluster.now - failed_at + CHECKPOINT_INTERVAL_MS;
    }
    let acquired_at = acquire_with_retries(&mut cluster, "l", "b");
    assert!(
        acquired_at >= sent + LEASE_MS,
        "{} ms early",
        sent + LEASE_MS - acquired_at
    );
    let latest = granted + LEASE_MS + outage_ms + RETRY_INTERVAL_MS + 2 * ROUND_TRIP_MS;
    assert!(acquired_at <= latest, "{} ms late", acquired_at - latest);
}

// A frozen leader resumes with an advanced clock and with proposals of its own. The state's clock
// must neither decrease nor run ahead of real time.
#[test]
fn the_state_clock_never_runs_ahead_and_never_decreases() {
    let (mut cluster, mut leader) = Cluster::with_leader(3);
    let start = cluster.now;
    cluster.execute(leader, acquire("l", "a", 600_000));
    let mut clocks = [0; 3];
    let check = |cluster: &Cluster, clocks: &mut [u64; 3]| {
        for (id, clock) in (1..).zip(clocks.iter_mut()) {
            let now = cluster.machine(id).state().clock_ms();
            assert!(now >= *clock, "the clock of machine {id} decreased");
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
        cluster.resume(leader);
        for _ in 0..20 {
            cluster.submit_command(leader, next_number("n"));
            cluster.run(100);
            check(&cluster, &mut clocks);
        }
        leader = cluster.await_leader();
    }
    // The clock advances while the group has a leader.
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
fn an_idle_group_without_leases_writes_nothing() {
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
fn an_expiry_is_counted_on_all_machines_and_logged_by_the_leader() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.execute(leader, acquire("l", "a", 1_000));
    cluster.run(1_000 + CHECKPOINT_INTERVAL_MS + ROUND_TRIP_MS);
    for id in [1, 2, 3] {
        assert_eq!(cluster.machine(id).status().counters.expired_leases, 1);
    }
    let is_expiry = |event: &&LogEvent| matches!(event, LogEvent::LeaseExpired { .. });
    assert_eq!(cluster.log.iter().filter(is_expiry).count(), 1);
}
