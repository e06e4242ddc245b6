//! Locks: lease owners, lease durations and fencing tokens.

mod support;

use rstest::rstest;
use support::{Service, acquire, acquired, release, renew};
use woadstall_coordination::outcome::Outcome;

#[test]
fn a_lock_has_one_owner_at_a_time() {
    let mut service = Service::new();
    assert_eq!(service.execute(acquire("l", "a", 3_000)), acquired(1));
    assert_eq!(service.execute(acquire("l", "b", 3_000)), Outcome::LockHeld);
    assert_eq!(service.execute(acquire("m", "b", 3_000)), acquired(2));
}

#[rstest]
#[case::just_before_its_expiry(2_999, Outcome::LockHeld)]
#[case::at_its_expiry(3_000, acquired(2))]
#[case::long_after_its_expiry(60_000, acquired(2))]
fn a_lease_expires_after_its_duration(#[case] elapsed_ms: u64, #[case] expected: Outcome) {
    let mut service = Service::new();
    service.advance(10_000);
    service.execute(acquire("l", "a", 3_000));
    service.advance(elapsed_ms);
    assert_eq!(service.execute(acquire("l", "b", 1_000)), expected);
}

#[test]
fn a_batch_reports_the_leases_that_expired_by_its_time() {
    let mut service = Service::new();
    service.execute(acquire("l", "a", 3_000));
    service.execute(acquire("m", "a", 2_000));
    service.execute(acquire("n", "a", 9_000));
    service.advance(3_000);
    assert_eq!(service.checkpoint().expired_locks, ["m", "l"]);
    assert_eq!(service.state.size().leases, 1);
    assert!(service.checkpoint().expired_locks.is_empty());
}

#[test]
fn reacquiring_a_lock_issues_a_greater_token_and_extends_the_lease() {
    let mut service = Service::new();
    service.execute(acquire("l", "a", 3_000));
    service.advance(2_000);
    assert_eq!(service.execute(acquire("l", "a", 3_000)), acquired(2));
    service.advance(2_999);
    assert_eq!(service.execute(acquire("l", "b", 1_000)), Outcome::LockHeld);
    service.advance(1);
    assert_eq!(service.execute(acquire("l", "b", 1_000)), acquired(3));
}

// An owner whose second request got no response relies on the lease of the first request.
#[test]
fn reacquiring_a_lock_never_shortens_the_lease() {
    let mut service = Service::new();
    service.execute(acquire("l", "a", 5_000));
    service.execute(acquire("l", "a", 1_000));
    service.advance(4_999);
    assert_eq!(service.execute(acquire("l", "b", 1_000)), Outcome::LockHeld);
    service.advance(1);
    assert_eq!(service.execute(acquire("l", "b", 1_000)), acquired(3));
}

#[test]
fn a_renewed_lease_starts_at_the_time_of_the_renewal() {
    let mut service = Service::new();
    service.execute(acquire("l", "a", 3_000));
    service.advance(2_999);
    let renewal = renew("l", "a", 1, 3_000);
    assert_eq!(service.execute(renewal), Outcome::LockRenewed);
    service.advance(2_999);
    assert_eq!(service.execute(acquire("l", "b", 1_000)), Outcome::LockHeld);
    service.advance(1);
    assert_eq!(service.execute(acquire("l", "b", 1_000)), acquired(2));
}

#[test]
fn a_renewal_never_shortens_the_lease() {
    let mut service = Service::new();
    service.execute(acquire("l", "a", 5_000));
    service.execute(renew("l", "a", 1, 100));
    service.advance(4_999);
    assert_eq!(service.execute(acquire("l", "b", 1_000)), Outcome::LockHeld);
}

#[test]
fn a_renewal_at_or_after_the_expiry_fails() {
    let mut service = Service::new();
    service.execute(acquire("l", "a", 3_000));
    service.advance(3_000);
    let renewal = renew("l", "a", 1, 3_000);
    assert_eq!(service.execute(renewal.clone()), Outcome::LockLost);
    assert_eq!(service.execute(acquire("l", "b", 3_000)), acquired(2));
    assert_eq!(service.execute(renewal), Outcome::LockLost);
    assert_eq!(
        service.execute(renew("l", "b", 2, 3_000)),
        Outcome::LockRenewed
    );
}

#[rstest]
#[case::another_owner("b", 2)]
#[case::a_former_token("a", 1)]
#[case::a_future_token("a", 3)]
#[case::token_0("a", 0)]
fn calls_with_another_owner_or_token_do_not_affect_the_lease(
    #[case] owner: &str,
    #[case] token: u64,
) {
    let mut service = Service::new();
    service.execute(acquire("l", "a", 3_000));
    service.execute(acquire("l", "a", 3_000));
    let before = service.state.clone();
    let renewal = renew("l", owner, token, 60_000);
    assert_eq!(service.execute(renewal), Outcome::LockLost);
    let release = release("l", owner, token);
    assert_eq!(service.execute(release), Outcome::LockReleased);
    assert_eq!(service.state.size(), before.size());
    service.advance(2_999);
    assert_eq!(service.execute(acquire("l", "c", 1_000)), Outcome::LockHeld);
    service.advance(1);
    assert_eq!(service.execute(acquire("l", "c", 1_000)), acquired(3));
}

#[test]
fn a_released_lock_is_available_immediately() {
    let mut service = Service::new();
    service.execute(acquire("l", "a", 3_000));
    assert_eq!(service.execute(release("l", "a", 1)), Outcome::LockReleased);
    assert_eq!(
        service.execute(renew("l", "a", 1, 3_000)),
        Outcome::LockLost
    );
    assert_eq!(service.execute(acquire("l", "b", 3_000)), acquired(2));
}

#[test]
fn releasing_a_lock_without_a_lease_succeeds() {
    let mut service = Service::new();
    assert_eq!(service.execute(release("l", "a", 1)), Outcome::LockReleased);
    service.execute(acquire("l", "a", 3_000));
    service.advance(3_000);
    assert_eq!(service.execute(release("l", "a", 1)), Outcome::LockReleased);
}

// The release of the former lease is still in transit when the same owner acquires the lock again.
#[test]
fn a_delayed_release_of_a_former_lease_does_not_end_the_new_lease() {
    let mut service = Service::new();
    service.execute(acquire("l", "a", 3_000));
    assert_eq!(service.execute(acquire("l", "a", 3_000)), acquired(2));
    assert_eq!(service.execute(release("l", "a", 1)), Outcome::LockReleased);
    assert_eq!(service.execute(acquire("l", "b", 3_000)), Outcome::LockHeld);
    assert_eq!(
        service.execute(renew("l", "a", 2, 3_000)),
        Outcome::LockRenewed
    );
}

#[test]
fn a_restarted_owner_reacquires_its_lock() {
    let mut service = Service::new();
    service.execute(acquire("l", "a", 5_000));
    service.advance(1_000);
    assert_eq!(service.execute(acquire("l", "a", 5_000)), acquired(2));
    let renewal_of_the_former_lease = renew("l", "a", 1, 60_000);
    assert_eq!(
        service.execute(renewal_of_the_former_lease),
        Outcome::LockLost
    );
    service.advance(5_000);
    assert_eq!(service.execute(acquire("l", "b", 1_000)), acquired(3));
}

#[test]
fn fencing_tokens_increase_across_releases_expiries_and_snapshots() {
    let mut service = Service::new();
    assert_eq!(service.execute(acquire("l", "a", 3_000)), acquired(1));
    service.execute(release("l", "a", 1));
    service.restore_from_snapshot();
    assert_eq!(service.execute(acquire("l", "b", 3_000)), acquired(2));
    service.advance(3_000);
    service.checkpoint();
    service.restore_from_snapshot();
    assert_eq!(service.execute(acquire("l", "a", 3_000)), acquired(3));
}

#[test]
fn a_rejected_request_consumes_no_fencing_token() {
    let mut service = Service::new();
    service.execute(acquire("l", "a", 3_000));
    service.execute(acquire("l", "b", 3_000));
    assert_eq!(service.execute(acquire("m", "b", 3_000)), acquired(2));
}

#[rstest]
#[case::zero(0)]
#[case::maximum(u64::MAX)]
fn extreme_lease_durations_are_honored(#[case] lease_ms: u64) {
    let mut service = Service::new();
    service.advance(1_000);
    assert_eq!(service.execute(acquire("l", "a", lease_ms)), acquired(1));
    service.advance(1);
    let is_held = service.execute(acquire("l", "b", 1_000)) == Outcome::LockHeld;
    assert_eq!(is_held, lease_ms > 0);
}

#[test]
fn calls_of_a_batch_are_executed_in_order() {
    use woadstall_coordination::command::Call;
    let mut service = Service::new();
    let calls = [
        acquire("l", "a", 3_000),
        acquire("l", "b", 3_000),
        release("l", "a", 1),
        acquire("l", "b", 3_000),
    ];
    let applied = service.apply(calls.map(Call::Command));
    let outcomes: Vec<Outcome> = applied
        .outcomes
        .into_iter()
        .map(|one| one.outcome)
        .collect();
    let expected = [
        acquired(1),
        Outcome::LockHeld,
        Outcome::LockReleased,
        acquired(2),
    ];
    assert_eq!(outcomes, expected);
}

#[test]
fn lock_names_may_be_any_text() {
    let mut service = Service::new();
    for (token, lock) in (1..).zip(["", ".", "l ", "l\0", "\u{10ffff}", &"x".repeat(256)]) {
        assert_eq!(service.execute(acquire(lock, "a", 3_000)), acquired(token));
    }
}
