//! The linearizability check, on linearizable and on other histories.

use rstest::rstest;
use std::collections::BTreeSet;
use woadstall_control_simulation::history::{CLIENT_TIMEOUT_MS, History, Input, Output};

fn put(base: u64, generation: u64) -> Input {
    Input::Put {
        base,
        generation,
        digest: u128::from(base) << 64 | u128::from(generation),
    }
}

fn read(generation: u64, zones: &[&str]) -> Output {
    Output::Read {
        generation,
        evacuated: zones
            .iter()
            .map(|zone| (*zone).to_owned())
            .collect::<BTreeSet<_>>(),
    }
}

fn evacuate() -> Input {
    Input::Evacuate("z".to_owned())
}

fn end_evacuation() -> Input {
    Input::EndEvacuation("z".to_owned())
}

/// Builds a history of completed operations.
#[derive(Debug, Default)]
struct HistoryBuilder {
    history: History,
    operations: u64,
}

impl HistoryBuilder {
    /// Adds an operation with the times of its invocation and return, in milliseconds.
    fn operation(
        mut self,
        invoked_ms: u64,
        returned_ms: u64,
        input: Input,
        output: Output,
    ) -> Self {
        let token = self.operations;
        self.operations += 1;
        self.history.invoke(token, invoked_ms, input);
        self.history.complete(token, returned_ms, output);
        self
    }

    fn is_linearizable(&self) -> bool {
        self.history.check().is_ok()
    }
}

fn history() -> HistoryBuilder {
    HistoryBuilder::default()
}

#[rstest]
#[case::sequential_operations(
    history()
        .operation(0, 10, put(0, 5), Output::Committed)
        .operation(20, 30, put(5, 7), Output::Committed)
        .operation(40, 50, Input::Read, read(7, &[]))
)]
#[case::concurrent_puts_with_one_commit(
    history()
        .operation(0, 10, put(0, 5), Output::Committed)
        .operation(20, 40, put(5, 7), Output::Committed)
        .operation(21, 39, put(5, 8), Output::Conflict(7))
)]
#[case::a_retried_command(
    history()
        .operation(0, 10, put(0, 5), Output::Unknown)
        .operation(20, 30, put(0, 5), Output::Committed)
        .operation(40, 50, put(0, 5), Output::Committed)
)]
#[case::an_unknown_command_that_took_effect(
    history()
        .operation(0, 10, put(0, 5), Output::Unknown)
        .operation(20, 30, Input::Read, read(5, &[]))
)]
#[case::an_unknown_command_without_effect(
    history()
        .operation(0, 10, put(0, 5), Output::Committed)
        .operation(11, 15, put(5, 7), Output::Unknown)
        .operation(20, 30, Input::Read, read(5, &[]))
)]
#[case::a_read_concurrent_with_a_command_sees_either(
    history()
        .operation(0, 10, put(0, 5), Output::Committed)
        .operation(20, 90, put(5, 7), Output::Committed)
        .operation(21, 30, Input::Read, read(7, &[]))
        .operation(31, 40, Input::Read, read(7, &[]))
)]
#[case::an_evacuation_that_ends(
    history()
        .operation(0, 10, put(0, 5), Output::Committed)
        .operation(20, 30, evacuate(), Output::Committed)
        .operation(40, 50, Input::Read, read(5, &["z"]))
        .operation(60, 70, end_evacuation(), Output::Committed)
        .operation(80, 90, Input::Read, read(5, &[]))
)]
fn a_linearizable_history_passes(#[case] history: HistoryBuilder) {
    assert!(history.is_linearizable());
}

#[rstest]
#[case::concurrent_puts_that_both_commit(
    history()
        .operation(0, 10, put(0, 5), Output::Committed)
        .operation(20, 40, put(5, 7), Output::Committed)
        .operation(21, 39, put(5, 8), Output::Committed)
)]
#[case::a_stale_read(
    history()
        .operation(0, 10, put(0, 5), Output::Committed)
        .operation(20, 30, put(5, 7), Output::Committed)
        .operation(40, 50, Input::Read, read(5, &[]))
)]
#[case::a_read_older_than_an_earlier_read(
    history()
        .operation(0, 10, put(0, 5), Output::Committed)
        .operation(20, 90, put(5, 7), Output::Committed)
        .operation(21, 30, Input::Read, read(7, &[]))
        .operation(31, 40, Input::Read, read(5, &[]))
)]
#[case::a_lost_command(
    history()
        .operation(0, 10, put(0, 5), Output::Committed)
        .operation(20, 30, put(0, 6), Output::Committed)
)]
#[case::a_retried_command_that_is_rejected(
    history()
        .operation(0, 10, put(0, 5), Output::Committed)
        .operation(20, 30, put(0, 5), Output::Conflict(5))
)]
#[case::a_conflict_with_a_generation_that_never_existed(
    history()
        .operation(0, 10, put(0, 5), Output::Committed)
        .operation(20, 30, put(5, 7), Output::Conflict(6))
)]
#[case::a_command_that_takes_effect_after_its_client_timed_out(
    history()
        .operation(0, 10, put(0, 5), Output::Committed)
        .operation(20, 30, evacuate(), Output::Unknown)
        .operation(40, 50, evacuate(), Output::Committed)
        .operation(60, 70, end_evacuation(), Output::Committed)
        .operation(80, 90, Input::Read, read(5, &["z"]))
)]
#[case::a_conflict_with_its_own_base(
    history()
        .operation(0, 10, put(0, 5), Output::Committed)
        .operation(20, 40, put(5, 7), Output::Conflict(5))
)]
fn a_history_that_is_not_linearizable_fails(#[case] history: HistoryBuilder) {
    assert!(!history.is_linearizable());
}

#[test]
fn an_operation_without_a_response_may_take_effect_until_its_client_times_out() {
    let mut history = History::default();
    history.invoke(1, 0, put(0, 5));
    history.invoke(2, CLIENT_TIMEOUT_MS + 10, Input::Read);
    history.complete(2, CLIENT_TIMEOUT_MS + 20, read(5, &[]));
    assert!(history.check().is_ok());
    history.invoke(3, CLIENT_TIMEOUT_MS + 30, put(0, 6));
    history.complete(3, CLIENT_TIMEOUT_MS + 40, Output::Committed);
    assert!(
        history.check().is_err(),
        "the put of generation 5 had already taken effect"
    );
}
