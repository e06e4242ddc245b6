//! Leadership changes: the effect of an isolated, frozen, stopped or restarted leader on its calls.

use crate::calls_support::{acquire, acquired, next_number, number, put, put_at, release, renew};
use crate::cluster::{Cluster, STEP_MS};
use woadstall_coordination::machine::{LogEvent, Response};
use woadstall_coordination::outcome::Outcome;

/// The time in milliseconds after which every call has a response.
const CALL_TIMEOUT_MS: u64 = 900;
/// An upper bound of the time, in milliseconds, for which a leader without a quorum keeps leading.
const STEP_DOWN_MS: u64 = 2_000;

#[test]
fn an_isolated_leader_grants_nothing() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    cluster.isolate(leader);
    let token = cluster.submit_command(leader, acquire("l", "a", 60_000));
    let response = cluster.await_response(token, CALL_TIMEOUT_MS + STEP_MS);
    assert_eq!(response, Some(Response::Unknown));
    cluster.run(STEP_DOWN_MS);
    let token = cluster.submit_command(leader, acquire("l", "a", 60_000));
    assert_eq!(cluster.response(token), Some(Response::NotExecuted));
    let next = cluster.await_leader();
    assert_eq!(
        cluster.execute(next, acquire("l", "b", 60_000)),
        acquired(1)
    );
    cluster.heal(leader);
    cluster.await_convergence();
    let renewal = renew("l", "a", 1, 60_000);
    assert_eq!(cluster.execute(leader, renewal), Outcome::LockLost);
}

#[test]
fn a_resumed_leader_grants_no_lock_that_its_successor_has_granted() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    assert_eq!(
        cluster.execute(leader, acquire("l", "a", 1_000)),
        acquired(1)
    );
    cluster.freeze(leader);
    // Forwarded calls queue up at the frozen machine.
    let follower = cluster.follower();
    let waiting = cluster.submit_command(follower, acquire("m", "c", 60_000));
    cluster.run(CALL_TIMEOUT_MS);
    assert_eq!(cluster.response(waiting), Some(Response::Unknown));
    let next = cluster.await_leader();
    cluster.run(2_500);
    assert_eq!(
        cluster.execute(next, acquire("l", "b", 60_000)),
        acquired(2)
    );
    cluster.resume(leader);
    let renewal = cluster.submit_command(leader, renew("l", "a", 1, 60_000));
    let again = cluster.submit_command(leader, acquire("l", "a", 60_000));
    let fresh = cluster.submit_command(leader, acquire("n", "a", 60_000));
    cluster.run(CALL_TIMEOUT_MS + STEP_MS);
    for token in [renewal, again] {
        let response = cluster.response(token);
        let is_granted = matches!(
            response,
            Some(Response::Executed(
                Outcome::LockRenewed | Outcome::LockAcquired { .. }
            ))
        );
        assert!(!is_granted && response.is_some(), "{response:?}");
    }
    assert!(cluster.response(fresh).is_some());
    assert!(!cluster.machine(leader).replica().is_leader());
    let renewal = renew("l", "b", 2, 60_000);
    assert_eq!(cluster.execute(next, renewal), Outcome::LockRenewed);
}

#[test]
fn queued_calls_of_a_former_leader_are_executed_by_its_successor() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    // The second number is proposed at once, so the lock calls wait in the queue for the next
    // batch.
    cluster.execute(leader, next_number("n"));
    cluster.submit_command(leader, next_number("n"));
    let own = cluster.submit_command(leader, acquire("l", "a", 60_000));
    let follower = cluster.follower();
    let forwarded = cluster.submit_command(follower, acquire("m", "a", 60_000));
    cluster.begin_shutdown(leader);
    for token in [own, forwarded] {
        let response = cluster.await_response(token, CALL_TIMEOUT_MS);
        let is_acquired = matches!(
            response,
            Some(Response::Executed(Outcome::LockAcquired { .. }))
        );
        assert!(is_acquired, "{response:?}");
    }
    assert!(!cluster.machine(leader).replica().is_leader());
}

#[test]
fn acknowledged_writes_survive_a_power_failure_of_all_machines() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    assert_eq!(cluster.execute(leader, put("g.a", "x", None)), put_at(1));
    assert_eq!(cluster.execute(leader, next_number("n")), number(1));
    assert_eq!(
        cluster.execute(leader, acquire("l", "a", 60_000)),
        acquired(1)
    );
    for id in [1, 2, 3] {
        cluster.stop(id);
    }
    cluster.run(100);
    for id in [1, 2, 3] {
        cluster.restart(id);
    }
    let leader = cluster.await_leader();
    let follower = cluster.follower();
    assert_eq!(cluster.execute(follower, put("g.a", "x", None)), put_at(1));
    assert_eq!(cluster.execute(leader, put("g.a", "y", Some(1))), put_at(2));
    assert_eq!(cluster.execute(follower, next_number("n")), number(2));
    assert_eq!(
        cluster.execute(leader, acquire("l", "b", 60_000)),
        Outcome::LockHeld
    );
    assert_eq!(
        cluster.execute(leader, release("l", "a", 1)),
        Outcome::LockReleased
    );
    assert_eq!(
        cluster.execute(follower, acquire("l", "b", 60_000)),
        acquired(2)
    );
}

#[test]
fn calls_are_executed_soon_after_a_leader_fails() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    assert_eq!(cluster.execute(leader, next_number("n")), number(1));
    cluster.stop(leader);
    let next = cluster.await_leader();
    let follower = cluster.follower();
    assert_eq!(cluster.execute(follower, next_number("n")), number(2));
    assert_eq!(cluster.execute(next, next_number("n")), number(3));
}

#[test]
fn a_machine_that_is_behind_the_snapshot_catches_up() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let follower = cluster.follower();
    cluster.stop(follower);
    let large = "v".repeat(60 << 10);
    cluster.execute(leader, acquire("l", "a", 600_000));
    for round in 0..24 {
        let value = format!("{round}{large}");
        cluster.execute(leader, put("g.a", &value, None));
    }
    let log = cluster.machine(leader).replica().log();
    assert!(log.snapshot().index > 1, "the log was not compacted");
    cluster.restart(follower);
    cluster.await_convergence();
    assert!(cluster.machine(follower).replica().log().snapshot().index > 1);
    assert_eq!(
        cluster.execute(follower, acquire("l", "b", 1_000)),
        Outcome::LockHeld
    );
}

#[test]
fn the_start_and_the_end_of_leadership_are_logged() {
    let (mut cluster, leader) = Cluster::with_leader(3);
    let term = cluster.machine(leader).replica().term();
    let id = leader;
    assert!(cluster.log.contains(&LogEvent::LeaderElected { term, id }));
    cluster.isolate(leader);
    cluster.run(STEP_DOWN_MS);
    assert!(
        cluster
            .log
            .contains(&LogEvent::LeadershipEnded { term, id })
    );
}
