//! The event feed that serves watches. Events are in order and without a gap within the retention
//! time of the history.

mod support;

use rstest::rstest;
use support::{HISTORY_MS, Service, listed, put, put_at};
use woadstall_coordination::command::Call;
use woadstall_coordination::state::{GroupEvents, WatchError};

/// A value size, in bytes, of which a few values exceed the size limit of an event list.
const LARGE_VALUE_BYTES: usize = 60 << 10;
/// The maximum size of keys and values in an event list, in bytes, including the last event, which
/// may exceed the limit.
const MAX_LIST_BYTES: usize = (256 << 10) + LARGE_VALUE_BYTES + 64;

/// A state with three puts in group `g` and one put in group `h` between them.
fn service_with_events() -> Service {
    let mut service = Service::new();
    service.execute(put("g.a", "x", None));
    service.execute(put("h.a", "other", None));
    service.execute(put("g.b", "y", None));
    service.execute(put("g.a", "z", None));
    service
}

#[rstest]
#[case::all(0, &[("g.a", "x", 1), ("g.b", "y", 2), ("g.a", "z", 3)])]
#[case::some(1, &[("g.b", "y", 2), ("g.a", "z", 3)])]
#[case::the_last_one(2, &[("g.a", "z", 3)])]
#[case::none(3, &[])]
#[case::a_future_revision(9, &[])]
fn events_after_a_revision_are_returned(
    #[case] after: u64,
    #[case] expected: &[(&str, &str, u64)],
) {
    let mut service = service_with_events();
    for _ in 0..2 {
        let found = service.events_after("g", after).unwrap();
        assert_eq!(listed(&found), expected);
        assert_eq!(found.revision, 3);
        service.restore_from_snapshot();
    }
}

#[test]
fn a_group_without_puts_has_no_events() {
    let service = service_with_events();
    assert_eq!(service.events_after("i", 0), Ok(GroupEvents::default()));
}

#[test]
fn a_repeated_put_adds_no_event() {
    let mut service = service_with_events();
    assert_eq!(service.execute(put("g.b", "y", None)), put_at(2));
    assert_eq!(service.events_after("g", 3).unwrap().events.len(), 0);
}

#[test]
fn events_are_retained_for_the_history_retention_time() {
    let mut service = service_with_events();
    service.advance(5_000);
    service.execute(put("g.c", "w", None));
    service.advance(HISTORY_MS - 5_000);
    service.checkpoint();
    assert_eq!(service.events_after("g", 0).unwrap().events.len(), 4);
    service.advance(1);
    service.checkpoint();
    for _ in 0..2 {
        let compacted = WatchError::Compacted { compacted: 3 };
        assert_eq!(service.events_after("g", 2), Err(compacted));
        let found = service.events_after("g", 3).unwrap();
        assert_eq!(listed(&found), [("g.c", "w", 4)]);
        service.restore_from_snapshot();
    }
    service.advance(HISTORY_MS);
    service.checkpoint();
    let compacted = WatchError::Compacted { compacted: 4 };
    assert_eq!(service.events_after("g", 3), Err(compacted));
    assert_eq!(service.events_after("g", 4).unwrap().revision, 4);
    assert_eq!(service.execute(put("g.d", "v", None)), put_at(5));
    let found = service.events_after("g", 4).unwrap();
    assert_eq!(listed(&found), [("g.d", "v", 5)]);
}

#[test]
fn history_expires_group_by_group() {
    let mut service = Service::new();
    service.execute(put("g.a", "x", None));
    service.advance(HISTORY_MS);
    service.execute(put("h.a", "x", None));
    service.advance(1);
    service.checkpoint();
    assert!(service.events_after("g", 0).is_err());
    assert_eq!(service.events_after("h", 0).unwrap().events.len(), 1);
}

#[test]
fn the_clock_never_decreases() {
    let mut service = Service::new();
    service.advance(HISTORY_MS + 1);
    service.execute(put("g.a", "x", None));
    let clock_ms = std::mem::take(&mut service.clock_ms);
    service.execute(put("g.b", "y", None));
    assert_eq!(service.state.clock_ms(), clock_ms);
    service.clock_ms = clock_ms + HISTORY_MS;
    service.checkpoint();
    assert_eq!(service.events_after("g", 0).unwrap().events.len(), 2);
}

// The revision of a list that is cut off must not cover the omitted events. A watch that resumes
// from that revision would miss them.
#[rstest]
#[case::of_one_group(1)]
#[case::of_three_groups(3)]
fn a_long_list_is_cut_off_at_the_revision_of_its_last_event(#[case] groups: usize) {
    let mut service = Service::new();
    for number in 0..10 * groups {
        let group = number % groups;
        let value = format!("{number}-{}", "v".repeat(LARGE_VALUE_BYTES));
        let key = format!("g{group}.{}", number / groups % 4);
        service.apply([Call::Command(put(&key, &value, None))]);
    }
    let mut after = 0;
    let mut seen = Vec::new();
    let mut lists = 0;
    while after < 10 {
        let found = service.events_after("g0", after).unwrap();
        let bytes = found
            .events
            .iter()
            .map(|event| event.key.len() + event.value.len());
        assert!(bytes.sum::<usize>() <= MAX_LIST_BYTES);
        assert_eq!(
            found.events.last().map(|event| event.revision),
            Some(found.revision)
        );
        seen.extend(found.events.iter().map(|event| event.revision));
        after = found.revision;
        lists += 1;
    }
    assert!(lists > 1);
    assert_eq!(seen, (1..=10).collect::<Vec<u64>>());
}
