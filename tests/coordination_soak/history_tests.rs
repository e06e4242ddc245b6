//! Tests of the history checks: each kind of violation is detected.

use super::history::{Entry, History, Interval, Lease, Number, Put, PutOutcome, Read, WatchAnswer};
use std::time::Duration;

fn interval(sent_ms: u64, received_ms: u64) -> Interval {
    Interval {
        sent: Duration::from_millis(sent_ms),
        received: Duration::from_millis(received_ms),
    }
}

fn put(key: &str, value: &str, at_ms: u64, outcome: PutOutcome) -> Put {
    Put {
        key: key.to_owned(),
        value: value.to_owned(),
        if_revision: None,
        interval: interval(at_ms, at_ms + 5),
        outcome,
    }
}

fn acknowledged(key: &str, value: &str, at_ms: u64, revision: u64) -> Put {
    put(key, value, at_ms, PutOutcome::Acknowledged { revision })
}

fn entry(key: &str, value: &str, revision: u64) -> Entry {
    Entry {
        key: key.to_owned(),
        value: value.to_owned(),
        revision,
    }
}

fn read(at_ms: u64, found: Option<Entry>) -> Read {
    Read {
        key: "g.a".to_owned(),
        found,
        interval: interval(at_ms, at_ms + 5),
    }
}

fn lease(holder: &str, fence: u64, from_ms: u64, until_ms: u64) -> Lease {
    Lease {
        lock: "l".to_owned(),
        holder: holder.to_owned(),
        fence,
        acquired: interval(from_ms, from_ms + 5),
        until: Duration::from_millis(until_ms),
    }
}

fn number(value: u64, at_ms: u64) -> Number {
    Number {
        name: "n".to_owned(),
        value,
        interval: interval(at_ms, at_ms + 5),
    }
}

fn watch(after: u64, events: Vec<Entry>, revision: u64) -> WatchAnswer {
    WatchAnswer {
        group: "g".to_owned(),
        after,
        events,
        revision,
        interval: interval(500, 505),
    }
}

/// Returns a history without violations.
fn valid_history() -> History {
    History {
        leases: vec![lease("c1", 1, 0, 100), lease("c2", 2, 100, 200)],
        numbers: vec![number(1, 0), number(2, 10)],
        puts: vec![
            acknowledged("g.a", "one", 0, 1),
            acknowledged("g.b", "two", 10, 2),
            acknowledged("g.a", "three", 20, 3),
        ],
        reads: vec![
            read(6, Some(entry("g.a", "one", 1))),
            read(30, Some(entry("g.a", "three", 3))),
        ],
        watches: vec![watch(
            1,
            vec![entry("g.b", "two", 2), entry("g.a", "three", 3)],
            3,
        )],
    }
}

/// Asserts that a change to the valid history causes a violation that begins with `expected`.
fn assert_violation(expected: &str, change: impl FnOnce(&mut History)) {
    let mut history = valid_history();
    change(&mut history);
    let found = history.violations();
    assert!(
        found
            .iter()
            .any(|violation| violation.starts_with(expected)),
        "{expected}: {found:?}"
    );
}

#[test]
fn valid_history_has_no_violations() {
    assert_eq!(valid_history().violations(), Vec::<String>::new());
}

#[test]
fn invalid_leases_are_reported() {
    assert_violation("ONE: two holders at a time", |history| {
        history.leases[0].until = Duration::from_millis(106);
    });
    assert_violation("ONE: a fencing token below an earlier one", |history| {
        history.leases[0].fence = 3;
    });
    assert_violation("ONE: two holders with one token", |history| {
        history.leases[0].fence = 2;
    });
}

/// Guards against a false alarm: the answer to an acquisition was delayed beyond the end of its lease, and the next
/// holder's answer arrived before it.
#[test]
fn a_lease_that_has_expired_before_its_answer_arrives_has_no_holder() {
    let mut history = valid_history();
    history.leases[0].acquired.received = Duration::from_millis(106);
    assert_eq!(history.violations(), Vec::<String>::new());
    history.leases[0].until = Duration::from_millis(107);
    let found = history.violations();
    assert!(
        found[0].starts_with("ONE: two holders at a time"),
        "{found:?}"
    );
}

#[test]
fn invalid_numbers_are_reported() {
    assert_violation("ORDER: a number twice", |history| {
        history.numbers[0].value = 2
    });
    assert_violation("ORDER: a number not above", |history| {
        history.numbers[0].value = 3;
    });
}

#[test]
fn invalid_revisions_are_reported() {
    assert_violation("ORDER: a revision twice", |history| {
        history.puts.push(acknowledged("g.b", "four", 0, 3));
    });
    assert_violation("ORDER: a revision not above", |history| {
        history.puts.push(acknowledged("g.b", "four", 40, 0));
    });
    assert_violation("ORDER: a put over a later revision", |history| {
        let mut conditional = acknowledged("g.a", "four", 40, 4);
        conditional.if_revision = Some(1);
        history.puts.push(conditional);
    });
    assert_violation("MIXED: a 412 with a foreign revision", |history| {
        let outcome = PutOutcome::Rejected { current: Some(2) };
        history.puts.push(put("g.a", "four", 40, outcome));
    });
}

#[test]
fn invalid_reads_are_reported() {
    assert_violation("STALE", |history| {
        history.reads[1].found = Some(entry("g.a", "one", 1));
    });
    assert_violation("STALE", |history| history.reads[1].found = None);
    assert_violation("MIXED: a value that nobody put", |history| {
        history.reads[1].found = Some(entry("g.a", "five", 5));
    });
    assert_violation("MIXED: a value of another key", |history| {
        history.reads[1].found = Some(entry("g.a", "two", 4));
    });
    assert_violation("MIXED: a value at two revisions", |history| {
        history.reads[1].found = Some(entry("g.a", "three", 4));
    });
    assert_violation("REFUSED", |history| {
        let outcome = PutOutcome::Rejected { current: None };
        history.puts.push(put("g.a", "four", 10, outcome));
        history.reads[1].found = Some(entry("g.a", "four", 4));
    });
}

#[test]
fn invalid_watches_are_reported() {
    assert_violation("ORDER: a watch skips a put", |history| {
        history.watches[0].events.remove(0);
    });
    assert_violation("ORDER: events that do not rise", |history| {
        history.watches[0].events.reverse();
    });
    assert_violation("ORDER: events that do not rise", |history| {
        history.watches[0].revision = 2;
    });
    assert_violation("ORDER: a watch that goes back", |history| {
        history.watches.push(watch(4, Vec::new(), 3));
    });
}
