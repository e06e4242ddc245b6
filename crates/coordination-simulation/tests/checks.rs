//! Each check reports a violation in an invalid history and accepts a valid one.

use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::command::{Call, Command, Query};
use woadstall_coordination::machine::{Response, WatchRequest};
use woadstall_coordination::outcome::Outcome;
use woadstall_coordination::state::{Event, GroupEvents};
use woadstall_coordination_simulation::checks::{
    LostViolation, MixedViolation, OneViolation, OrderViolation, Violation, check,
};
use woadstall_coordination_simulation::history::{
    Answer, FinalCall, History, LaggingWatch, LeaseInterval, Request,
};

const NODE: NodeIndex = 0;
const KEY: &str = "g.key";

/// Builds a history operation by operation. Each request and each answer takes one millisecond.
#[derive(Default)]
struct HistoryBuilder {
    history: History,
    now_ms: u64,
}

impl HistoryBuilder {
    fn call(&mut self, request: Request) -> usize {
        self.now_ms += 1;
        self.history.invoke(self.now_ms, 0, NODE, request)
    }

    fn answer(&mut self, operation: usize, response: Response) {
        self.now_ms += 1;
        let answer = Answer::Response(response);
        self.history.complete(self.now_ms, operation, answer);
    }

    fn command(&mut self, command: Command, outcome: Outcome) -> &mut Self {
        let operation = self.call(Request::Call(Call::Command(command)));
        self.answer(operation, Response::Executed(outcome));
        self
    }

    fn put(&mut self, value: &str, revision: u64) -> &mut Self {
        self.command(put(KEY, value, None), Outcome::Put { revision })
    }

    fn number(&mut self, value: u64) -> &mut Self {
        self.command(next_number(), Outcome::Number { value })
    }

    fn acquire(&mut self, owner: &str, fencing_token: u64) -> &mut Self {
        self.command(acquire(owner), Outcome::LockAcquired { fencing_token })
    }

    fn read(&mut self, outcome: Outcome) -> &mut Self {
        let key = KEY.to_owned();
        let operation = self.call(Request::Call(Call::Query(Query::Get { key })));
        self.answer(operation, Response::Executed(outcome));
        self
    }

    fn watch(&mut self, after: u64, received_ms: u64, response: Response) -> &mut Self {
        let watch = WatchRequest {
            group: "g".to_owned(),
            after,
            wait_ms: 100,
        };
        let operation = self.call(Request::Watch { watch, received_ms });
        self.answer(operation, response);
        self
    }

    fn lease_interval(&mut self, owner: &str, start_ms: u64, end_ms: u64) -> &mut Self {
        self.history.lease_intervals.push(LeaseInterval {
            lock: "lock".to_owned(),
            owner: owner.to_owned(),
            fencing_token: start_ms,
            start_ms,
            end_ms,
        });
        self
    }

    fn violation(&self) -> Option<Violation> {
        check(&self.history).err()
    }
}

fn put(key: &str, value: &str, if_revision: Option<u64>) -> Command {
    Command::Put {
        key: key.to_owned(),
        value: value.to_owned(),
        if_revision,
    }
}

fn next_number() -> Command {
    let sequence = "s".to_owned();
    Command::NextNumber { sequence }
}

fn acquire(owner: &str) -> Command {
    Command::AcquireLock {
        lock: "lock".to_owned(),
        owner: owner.to_owned(),
        lease_ms: 1_000,
    }
}

fn value(value: &str, revision: u64) -> Outcome {
    let value = value.to_owned();
    Outcome::Value { value, revision }
}

fn events(revision: u64, events: &[(&str, u64)]) -> Response {
    let event = |(value, revision): &(&str, u64)| Event {
        key: KEY.into(),
        value: (*value).into(),
        revision: *revision,
    };
    Response::Events(GroupEvents {
        events: events.iter().map(event).collect(),
        revision,
    })
}

#[test]
fn a_valid_history_is_accepted() {
    let mut builder = HistoryBuilder::default();
    builder.acquire("a", 1).acquire("b", 2).acquire("b", 3);
    builder
        .lease_interval("a", 0, 10)
        .lease_interval("b", 10, 20)
        .lease_interval("b", 15, 30);
    builder.number(1).number(3);
    builder.put("x", 1).put("y", 2).put("x", 1);
    builder.read(value("y", 2));
    builder.watch(1, 0, events(2, &[("y", 2)]));
    builder.command(
        put(KEY, "z", Some(1)),
        Outcome::RevisionConflict { current: 2 },
    );
    assert_eq!(builder.violation(), None);
}

#[test]
fn one_finds_two_owners_at_the_same_time() {
    let mut builder = HistoryBuilder::default();
    builder
        .lease_interval("a", 0, 10)
        .lease_interval("b", 9, 20);
    let violation = builder.violation();
    assert!(
        matches!(
            violation,
            Some(Violation::One(OneViolation::OverlappingLeases { .. }))
        ),
        "{violation:?}"
    );
}

#[test]
fn one_finds_decreasing_and_repeated_tokens() {
    let mut builder = HistoryBuilder::default();
    builder.acquire("a", 5).acquire("b", 4);
    let violation = builder.violation();
    assert!(
        matches!(
            violation,
            Some(Violation::One(OneViolation::TokenNotIncreasing { .. }))
        ),
        "{violation:?}"
    );
    let mut builder = HistoryBuilder::default();
    builder.acquire("a", 5).acquire("b", 5);
    let violation = builder.violation();
    assert!(
        matches!(
            violation,
            Some(Violation::One(OneViolation::DuplicateToken { .. }))
        ),
        "{violation:?}"
    );
}

#[test]
fn order_finds_repeated_or_decreasing_numbers_but_accepts_concurrent_calls() {
    let mut builder = HistoryBuilder::default();
    builder.number(2).number(1);
    let violation = builder.violation();
    assert!(
        matches!(
            violation,
            Some(Violation::Order(OrderViolation::NumberNotIncreasing { .. }))
        ),
        "{violation:?}"
    );
    for (second, is_valid) in [(1, true), (2, false)] {
        let mut builder = HistoryBuilder::default();
        let operations = [0; 2].map(|_| builder.call(Request::Call(Call::Command(next_number()))));
        for (operation, value) in operations.into_iter().zip([2, second]) {
            builder.answer(operation, Response::Executed(Outcome::Number { value }));
        }
        assert_eq!(builder.violation().is_none(), is_valid);
    }
}

#[test]
fn order_finds_repeated_or_decreasing_revisions_and_ignored_conditions() {
    let mut builder = HistoryBuilder::default();
    builder.put("x", 1).put("y", 1);
    let violation = builder.violation();
    assert!(
        matches!(
            violation,
            Some(Violation::Order(OrderViolation::DuplicateRevision { .. }))
        ),
        "{violation:?}"
    );
    let mut builder = HistoryBuilder::default();
    builder.put("x", 2).put("y", 1);
    let violation = builder.violation();
    assert!(
        matches!(
            violation,
            Some(Violation::Order(
                OrderViolation::RevisionNotIncreasing { .. }
            ))
        ),
        "{violation:?}"
    );
    let mut builder = HistoryBuilder::default();
    builder.put("x", 1).put("y", 2);
    builder.command(put(KEY, "z", Some(1)), Outcome::Put { revision: 3 });
    let violation = builder.violation();
    assert!(
        matches!(
            violation,
            Some(Violation::Order(OrderViolation::ConditionIgnored { .. }))
        ),
        "{violation:?}"
    );
}

#[test]
fn order_finds_watches_with_skipped_or_unordered_events() {
    let mut builder = HistoryBuilder::default();
    builder.put("x", 1).put("y", 2).put("z", 3);
    builder.watch(1, 0, events(3, &[("z", 3)]));
    let violation = builder.violation();
    assert!(
        matches!(
            violation,
            Some(Violation::Order(OrderViolation::EventSkipped {
                revision: 2,
                ..
            }))
        ),
        "{violation:?}"
    );
    let mut builder = HistoryBuilder::default();
    builder.put("x", 1).put("y", 2).put("z", 3);
    builder.watch(1, 0, events(3, &[("z", 3), ("y", 2)]));
    let violation = builder.violation();
    assert!(
        matches!(
            violation,
            Some(Violation::Order(OrderViolation::EventsOutOfOrder { .. }))
        ),
        "{violation:?}"
    );
}

#[test]
fn stale_finds_an_outdated_value_and_a_missing_key() {
    for outcome in [value("x", 1), Outcome::KeyNotFound] {
        let mut builder = HistoryBuilder::default();
        builder.put("x", 1).put("y", 2).read(outcome);
        let violation = builder.violation();
        assert!(
            matches!(violation, Some(Violation::Stale(_))),
            "{violation:?}"
        );
    }
}

#[test]
fn mixed_finds_values_without_a_put_and_unknown_or_repeated_revisions() {
    let mut builder = HistoryBuilder::default();
    builder.read(value("x", 1));
    let violation = builder.violation();
    assert!(
        matches!(
            violation,
            Some(Violation::Mixed(MixedViolation::UnknownValue { .. }))
        ),
        "{violation:?}"
    );
    let mut builder = HistoryBuilder::default();
    builder.put("x", 1).put("x", 2);
    let violation = builder.violation();
    assert!(
        matches!(
            violation,
            Some(Violation::Mixed(MixedViolation::TwoRevisions { .. }))
        ),
        "{violation:?}"
    );
    let mut builder = HistoryBuilder::default();
    let conflict = Outcome::RevisionConflict { current: 7 };
    builder.command(put(KEY, "x", Some(0)), conflict);
    let violation = builder.violation();
    assert!(
        matches!(
            violation,
            Some(Violation::Mixed(MixedViolation::UnknownRevision { .. }))
        ),
        "{violation:?}"
    );
}

#[test]
fn refused_finds_a_value_whose_put_was_rejected_at_every_attempt() {
    for (is_retried, is_valid) in [(false, false), (true, true)] {
        let mut builder = HistoryBuilder::default();
        let request = Request::Call(Call::Command(put(KEY, "x", None)));
        let operation = builder.call(request.clone());
        builder.answer(operation, Response::NotExecuted);
        if is_retried {
            let operation = builder.call(request);
            builder.answer(operation, Response::Unknown);
        }
        builder.read(value("x", 1));
        let violation = builder.violation();
        assert_eq!(violation.is_none(), is_valid, "{violation:?}");
        if let Some(violation) = violation {
            assert!(matches!(violation, Violation::Refused(_)), "{violation:?}");
        }
    }
}

#[test]
fn lost_finds_too_short_a_history_but_accepts_the_compaction_of_old_revisions() {
    for (now_ms, is_valid) in [(1_000, false), (60_000, true)] {
        let mut builder = HistoryBuilder {
            now_ms,
            ..HistoryBuilder::default()
        };
        builder.watch(1, 0, Response::HistoryCompacted);
        assert_eq!(builder.violation().is_none(), is_valid);
    }
}

#[test]
fn lost_finds_unanswered_final_calls_and_lagging_watches() {
    let lagging_watch = LaggingWatch {
        revision: 1,
        acknowledged: 2,
    };
    for (answered_ms, lagging_watch) in [
        (None, None),
        (Some(1), Some(lagging_watch)),
        (Some(1), None),
    ] {
        let mut builder = HistoryBuilder::default();
        builder.history.final_calls.push(FinalCall {
            request: String::new(),
            answered_ms,
            lagging_watch,
        });
        let violation = builder.violation();
        let is_expected = match lagging_watch {
            Some(_) => matches!(
                violation,
                Some(Violation::Lost(LostViolation::WatchLags { .. }))
            ),
            None if answered_ms.is_none() => matches!(
                violation,
                Some(Violation::Lost(LostViolation::NoAnswer { .. }))
            ),
            None => violation.is_none(),
        };
        assert!(is_expected, "{violation:?}");
    }
}
