//! The checks find what is wrong in a history.

use super::history::{Entry, History, Hold, Number, Put, PutFate, Read, Span, WatchAnswer};
use std::time::Duration;

fn span(sent_ms: u64, received_ms: u64) -> Span {
    Span {
        sent: Duration::from_millis(sent_ms),
        received: Duration::from_millis(received_ms),
    }
}

fn put(key: &str, value: &str, at_ms: u64, fate: PutFate) -> Put {
    Put {
        key: key.to_owned(),
        value: value.to_owned(),
        if_revision: None,
        span: span(at_ms, at_ms + 5),
        fate,
    }
}

fn acknowledged(key: &str, value: &str, at_ms: u64, revision: u64) -> Put {
    put(key, value, at_ms, PutFate::Acknowledged { revision })
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
        span: span(at_ms, at_ms + 5),
    }
}

fn hold(holder: &str, fence: u64, from_ms: u64, until_ms: u64) -> Hold {
    Hold {
        lock: "l".to_owned(),
        holder: holder.to_owned(),
        fence,
        acquired: span(from_ms, from_ms + 5),
        until: Duration::from_millis(until_ms),
    }
}

fn number(value: u64, at_ms: u64) -> Number {
    Number {
        name: "n".to_owned(),
        value,
        span: span(at_ms, at_ms + 5),
    }
}

fn watch(after: u64, events: Vec<Entry>, revision: u64) -> WatchAnswer {
    WatchAnswer {
        group: "g".to_owned(),
        after,
        events,
        revision,
        span: span(500, 505),
    }
}

/// A history in which all is well.
fn good() -> History {
    History {
        holds: vec![hold("c1", 1, 0, 100), hold("c2", 2, 100, 200)],
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

/// A change to a good history makes a breach that begins with this text.
fn assert_found(expected: &str, change: impl FnOnce(&mut History)) {
    let mut history = good();
    change(&mut history);
    let found = history.violations();
    assert!(
        found.iter().any(|breach| breach.starts_with(expected)),
        "{expected}: {found:?}"
    );
}

#[test]
fn nothing_is_wrong_in_a_good_history() {
    assert_eq!(good().violations(), Vec::<String>::new());
}

#[test]
fn wrong_holds_are_found() {
    assert_found("ONE: two holders at a time", |history| {
        history.holds[0].until = Duration::from_millis(106);
    });
    assert_found("ONE: a fencing token below an earlier one", |history| {
        history.holds[0].fence = 3;
    });
    assert_found("ONE: two holders with one token", |history| {
        history.holds[0].fence = 2;
    });
}

#[test]
fn wrong_numbers_are_found() {
    assert_found("ORDER: a number twice", |history| {
        history.numbers[0].value = 2
    });
    assert_found("ORDER: a number not above", |history| {
        history.numbers[0].value = 3;
    });
}

#[test]
fn wrong_revisions_are_found() {
    assert_found("ORDER: a revision twice", |history| {
        history.puts.push(acknowledged("g.b", "four", 0, 3));
    });
    assert_found("ORDER: a revision not above", |history| {
        history.puts.push(acknowledged("g.b", "four", 40, 0));
    });
    assert_found("ORDER: a put over a later revision", |history| {
        let mut conditional = acknowledged("g.a", "four", 40, 4);
        conditional.if_revision = Some(1);
        history.puts.push(conditional);
    });
    assert_found("MIXED: a 412 with a foreign revision", |history| {
        let fate = PutFate::Rejected { current: Some(2) };
        history.puts.push(put("g.a", "four", 40, fate));
    });
}

#[test]
fn wrong_reads_are_found() {
    assert_found("STALE", |history| {
        history.reads[1].found = Some(entry("g.a", "one", 1));
    });
    assert_found("STALE", |history| history.reads[1].found = None);
    assert_found("MIXED: a value that nobody put", |history| {
        history.reads[1].found = Some(entry("g.a", "five", 5));
    });
    assert_found("MIXED: a value of another key", |history| {
        history.reads[1].found = Some(entry("g.a", "two", 4));
    });
    assert_found("MIXED: a value at two revisions", |history| {
        history.reads[1].found = Some(entry("g.a", "three", 4));
    });
    assert_found("REFUSED", |history| {
        let fate = PutFate::Rejected { current: None };
        history.puts.push(put("g.a", "four", 10, fate));
        history.reads[1].found = Some(entry("g.a", "four", 4));
    });
}

#[test]
fn wrong_watches_are_found() {
    assert_found("ORDER: a watch skips a put", |history| {
        history.watches[0].events.remove(0);
    });
    assert_found("ORDER: events that do not rise", |history| {
        history.watches[0].events.reverse();
    });
    assert_found("ORDER: events that do not rise", |history| {
        history.watches[0].revision = 2;
    });
    assert_found("ORDER: a watch that goes back", |history| {
        history.watches.push(watch(4, Vec::new(), 3));
    });
}
