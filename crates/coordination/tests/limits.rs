//! The size limit of the state. In a full state, calls that need more space are rejected
//! without any effect and all other calls succeed.

mod support;

use support::{
    HISTORY_MS, Service, acquire, acquired, get, next_number, number, put, put_at, release, renew,
    value,
};
use woadstall_coordination::outcome::Outcome;

/// The size limit of the state, in bytes.
const MAX_STATE_BYTES: usize = 4 << 20;
/// The size of the largest values used to fill the state, in bytes.
const VALUE_BYTES: usize = 64 << 10;

/// A full state that contains the lock `l`, the sequence `n` and the key `g.a`.
fn full_state() -> Service {
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
fn calls_that_exceed_the_limit_change_nothing() {
    let mut service = full_state();
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
    // Rejected calls consume no tokens, numbers or revisions. After the same number of batches, a
    // state with rejected calls therefore equals a state with empty batches.
    let mut service = full_state();
    for _ in 0..4 {
        service.checkpoint();
    }
    let mut with_rejected_calls = full_state();
    for command in [acquire(&name, "a", 1_000), next_number(&name)] {
        with_rejected_calls.execute(command);
    }
    for command in [put("g.b", &name, None), put("g.a", &name, Some(1))] {
        with_rejected_calls.execute(command);
    }
    assert_eq!(service.state.encode(), with_rejected_calls.state.encode());
    assert_ne!(before, service.state.encode());
}

#[test]
fn existing_entries_remain_usable_in_a_full_state() {
    let mut service = full_state();
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
fn expired_history_frees_space() {
    let mut service = full_state();
    service.advance(HISTORY_MS + 1);
    assert_eq!(service.execute(put("g.b", "y", None)), put_at(2));
    assert_eq!(service.execute(next_number("m")), number(1));
    assert_eq!(service.state.size().events, 1);
}

// A replica restored from a snapshot must accept and reject the same calls as the other replicas.
// Its size accounting must therefore match theirs.
#[test]
fn a_restored_state_has_the_same_size() {
    let mut service = full_state();
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
