//! Keys: values, revisions, conditional puts and repeated puts.

mod support;

use rstest::rstest;
use support::{HISTORY_MS, Service, get, group_revision, put, put_at, value};
use woadstall_coordination::command::{Call, group_of};
use woadstall_coordination::outcome::Outcome;

/// The size of large values, in bytes. It exceeds the size of any other entry in these tests. A
/// number of such values fills the state.
const LARGE_VALUE_BYTES: usize = 64 << 10;

fn conflict(current: u64) -> Outcome {
    Outcome::RevisionConflict { current }
}

#[rstest]
#[case::one_dot("g1.2d", "g1")]
#[case::many_dots("g1.a.b", "g1")]
#[case::no_dot("g1", "g1")]
#[case::a_dot_at_the_beginning(".a", "")]
#[case::a_dot_at_the_end("g1.", "g1")]
#[case::empty("", "")]
fn the_group_of_a_key_is_its_name_up_to_the_first_dot(#[case] key: &str, #[case] group: &str) {
    assert_eq!(group_of(key), group);
}

#[test]
fn a_value_is_read_with_the_revision_of_its_put() {
    let mut service = Service::new();
    assert_eq!(service.query(get("g.a")), Outcome::KeyNotFound);
    assert_eq!(service.execute(put("g.a", "x", None)), put_at(1));
    assert_eq!(service.query(get("g.a")), value("x", 1));
    assert_eq!(service.execute(put("g.a", "y", None)), put_at(2));
    assert_eq!(service.query(get("g.a")), value("y", 2));
}

#[test]
fn the_keys_of_a_group_share_a_revision_counter() {
    let mut service = Service::new();
    assert_eq!(service.execute(put("g.a", "x", None)), put_at(1));
    assert_eq!(service.execute(put("g.b", "y", None)), put_at(2));
    assert_eq!(service.execute(put("h.a", "z", None)), put_at(1));
    assert_eq!(service.execute(put("g.a", "w", None)), put_at(3));
    assert_eq!(service.query(get("g.b")), value("y", 2));
    let revision = |revision| Outcome::GroupRevision { revision };
    assert_eq!(service.query(group_revision("g")), revision(3));
    assert_eq!(service.query(group_revision("h")), revision(1));
    assert_eq!(service.query(group_revision("i")), revision(0));
}

#[test]
fn a_condition_refers_to_the_revision_of_the_key_not_of_its_group() {
    let mut service = Service::new();
    service.execute(put("g.a", "x", None));
    service.execute(put("g.b", "y", None));
    assert_eq!(service.execute(put("g.a", "z", Some(2))), conflict(1));
    assert_eq!(service.execute(put("g.a", "z", Some(1))), put_at(3));
}

#[test]
fn revision_0_requires_that_the_key_does_not_exist() {
    let mut service = Service::new();
    service.execute(put("g.b", "w", None));
    assert_eq!(service.execute(put("g.a", "x", Some(0))), put_at(2));
    assert_eq!(service.execute(put("g.a", "y", Some(0))), conflict(2));
    assert_eq!(service.execute(put("g.c", "y", Some(7))), conflict(0));
}

#[test]
fn a_rejected_put_changes_nothing() {
    let mut service = Service::new();
    service.execute(put("g.a", "x", None));
    let size = service.state.size();
    let applied = service.apply([Call::Command(put("g.a", "y", Some(0)))]);
    assert_eq!(applied.outcomes[0].outcome, conflict(1));
    assert!(applied.changed_groups.is_empty());
    assert_eq!(service.state.size(), size);
    assert_eq!(service.query(get("g.a")), value("x", 1));
    assert!(service.events_after("g", 1).unwrap().events.is_empty());
    // The rejected put is not indexed for deduplication, so the same value can still be put.
    assert_eq!(service.execute(put("g.a", "y", Some(1))), put_at(2));
}

#[rstest]
#[case::without_condition(None)]
#[case::with_the_condition_that_was_met(Some(0))]
#[case::with_another_condition(Some(9))]
fn a_repeated_put_returns_its_first_revision(#[case] if_revision: Option<u64>) {
    let mut service = Service::new();
    assert_eq!(service.execute(put("g.a", "x", Some(0))), put_at(1));
    let repeated = put("g.a", "x", if_revision);
    assert_eq!(service.execute(repeated.clone()), put_at(1));
    // Other puts to the key and its group follow before the next repetition.
    service.execute(put("g.a", "y", Some(1)));
    service.execute(put("g.b", "z", None));
    assert_eq!(service.execute(repeated.clone()), put_at(1));
    service.restore_from_snapshot();
    assert_eq!(service.execute(repeated), put_at(1));
    assert_eq!(service.query(get("g.a")), value("y", 2));
    assert_eq!(service.events_after("g", 1).unwrap().revision, 3);
}

#[test]
fn a_repeated_put_is_recognized_within_the_history_retention_time() {
    let mut service = Service::new();
    service.execute(put("g.a", "x", None));
    service.execute(put("g.a", "y", None));
    service.advance(HISTORY_MS);
    assert_eq!(service.execute(put("g.a", "x", None)), put_at(1));
    service.advance(1);
    assert_eq!(service.execute(put("g.a", "x", None)), put_at(3));
    assert_eq!(service.execute(put("g.a", "x", None)), put_at(3));
    assert_eq!(service.query(get("g.a")), value("x", 3));
}

#[test]
fn a_repeated_put_of_the_current_value_is_always_recognized() {
    let mut service = Service::new();
    service.execute(put("g.a", "x", None));
    service.advance(10 * HISTORY_MS);
    service.checkpoint();
    assert_eq!(service.state.size().events, 0);
    service.restore_from_snapshot();
    assert_eq!(service.execute(put("g.a", "x", Some(0))), put_at(1));
}

#[test]
fn the_same_value_may_be_put_to_two_keys() {
    let mut service = Service::new();
    assert_eq!(service.execute(put("g.a", "x", None)), put_at(1));
    assert_eq!(service.execute(put("g.b", "x", None)), put_at(2));
    assert_eq!(service.execute(put("h.a", "x", None)), put_at(1));
    assert_eq!(service.execute(put("g.a", "x", None)), put_at(1));
    assert_eq!(service.query(get("g.b")), value("x", 2));
}

// The outcome of a put is unknown to its caller and another put overwrites it. A late second
// execution of the first put must not revert the key.
#[test]
fn a_late_execution_of_a_put_in_doubt_does_not_revert_the_key() {
    let mut service = Service::new();
    service.execute(put("g.a", "x", None));
    let in_doubt = put("g.a", "y", Some(1));
    assert_eq!(service.execute(in_doubt.clone()), put_at(2));
    assert_eq!(service.execute(put("g.a", "z", Some(1))), conflict(2));
    assert_eq!(service.execute(put("g.a", "z", Some(2))), put_at(3));
    assert_eq!(service.execute(in_doubt), put_at(2));
    assert_eq!(service.query(get("g.a")), value("z", 3));
}

#[test]
fn a_conditional_put_on_an_outdated_revision_never_succeeds() {
    let mut service = Service::new();
    service.execute(put("g.a", "x", None));
    service.execute(put("g.a", "y", None));
    let late = put("g.a", "z", Some(1));
    for _ in 0..3 {
        assert_eq!(service.execute(late.clone()), conflict(2));
    }
}

#[test]
fn names_and_values_are_any_text() {
    let mut service = Service::new();
    let texts = [
        "",
        " ",
        "\0",
        "\u{10ffff}",
        "\"",
        &"v".repeat(LARGE_VALUE_BYTES),
    ];
    for key in texts {
        for text in texts {
            let outcome = service.execute(put(key, text, None));
            assert!(matches!(outcome, Outcome::Put { .. }), "{outcome:?}");
        }
    }
    service.restore_from_snapshot();
    assert!(matches!(service.query(get("")), Outcome::Value { .. }));
}

#[test]
fn queries_of_other_processes_are_not_answered() {
    let mut service = Service::new();
    let mut batch = support::batch(0, [Call::Query(get("g.a")), Call::Query(get("g.b"))]);
    batch.calls[0].id.incarnation += 1;
    let applied = service.state.apply(1, batch.clone(), support::INCARNATION);
    let ids: Vec<u64> = applied.outcomes.iter().map(|one| one.id.number).collect();
    assert_eq!(ids, [batch.calls[1].id.number]);
}

#[test]
fn a_group_that_changes_twice_in_a_batch_is_reported_once() {
    let mut service = Service::new();
    let puts = [
        put("g.a", "x", None),
        put("h.a", "x", None),
        put("g.b", "x", None),
    ];
    let applied = service.apply(puts.map(Call::Command));
    assert_eq!(applied.changed_groups, ["g", "h"]);
    let repeated = service.apply([Call::Command(put("g.a", "x", None))]);
    assert!(repeated.changed_groups.is_empty());
}
