//! A state that is full: calls that would let it grow change nothing, all others go on.

mod support;

use support::{
    HISTORY_MS, Service, acquire, acquired, get, next_number, number, put, put_at, release, renew,
    value,
};
use woadstall_coordination::outcome::Outcome;

/// What the state holds at most, in bytes, and a call that passes that.
const MAX_STATE_BYTES: usize = 4 << 20;
const VALUE_BYTES: usize = 64 << 10;

/// A state with a lock, a sequence and a key, filled up with values.
fn full() -> Service {
    let mut service = Service::new();
    assert_eq!(service.execute(acquire("l", "a", 600_000)), acquired(1));
    assert_eq!(service.execute(next_number("n")), number(1));
    assert_eq!(service.execute(put("g.a", "x", None)), put_at(1));
    for bytes in [VALUE_BYTES, 1_024, 1] {
        for round in 0..MAX_STATE_BYTES / 64 {
            let text = format!("{round:04}{}", "v".repeat(bytes));
            let outcome = service.execute(put(&format!("h.{bytes}"), &text, None));
            if outcome == Outcome::LimitReached {
                break;
            }
        }
    }
    let bytes = service.state.size().bytes;
    assert!((MAX_STATE_BYTES - 1_024..MAX_STATE_BYTES + 4 * VALUE_BYTES).contains(&bytes));
    service
}

#[test]
fn what_does_not_fit_changes_nothing() {
    let mut service = full();
    let name = "x".repeat(1_024);
    let before = service.state.encode();
    for command in [
        acquire(&name, "a", 1_000),
        next_number(&name),
        put("g.b", &name, None),
        put("g.a", &name, Some(1)),
    ] {
        let size = service.state.size();
        assert_eq!(service.execute(command), Outcome::LimitReached);
        assert_eq!(service.state.size(), size);
    }
    // Only the position of the last batch differs: tokens, numbers and revisions are not used up.
    let mut service = full();
    for _ in 0..4 {
        service.checkpoint();
    }
    let mut filled_before = full();
    for command in [acquire(&name, "a", 1_000), next_number(&name)] {
        filled_before.execute(command);
    }
    for command in [put("g.b", &name, None), put("g.a", &name, Some(1))] {
        filled_before.execute(command);
    }
    assert_eq!(service.state.encode(), filled_before.state.encode());
    assert_ne!(before, service.state.encode());
}

#[test]
fn what_exists_can_be_used_in_a_full_state() {
    let mut service = full();
    assert_eq!(
        service.execute(renew("l", "a", 1, 1_000)),
        Outcome::LockRenewed
    );
    assert_eq!(service.execute(acquire("l", "a", 1_000)), acquired(2));
    assert_eq!(service.execute(next_number("n")), number(2));
    assert_eq!(service.execute(put("g.a", "x", None)), put_at(1));
    assert_eq!(service.query(get("g.a")), value("x", 1));
    assert_eq!(service.execute(release("l", "a", 2)), Outcome::LockReleased);
}

#[test]
fn there_is_room_again_after_history_has_expired() {
    let mut service = full();
    service.advance(HISTORY_MS + 1);
    assert_eq!(service.execute(put("g.b", "y", None)), put_at(2));
    assert_eq!(service.execute(next_number("m")), number(1));
    assert_eq!(service.state.size().events, 1);
}

// Whether there is room is decided alike on a replica that was restored from a snapshot.
#[test]
fn a_restored_state_counts_the_same_bytes() {
    let mut service = full();
    service.advance(HISTORY_MS / 2);
    service.execute(release("l", "a", 1));
    for round in 0..2 {
        let before = service.state.size();
        service.restore_from_snapshot();
        assert_eq!(service.state.size(), before, "round {round}");
        service.advance(HISTORY_MS);
        service.checkpoint();
    }
}
