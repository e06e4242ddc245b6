//! The checker of histories, on right and on wrong ones.

use super::{Call, History, PATIENCE, Reply};
use rstest::rstest;
use std::collections::BTreeSet;

fn put(base: u64, generation: u64) -> Call {
    Call::Put {
        base,
        generation,
        digest: u128::from(base) << 64 | u128::from(generation),
    }
}

fn read(generation: u64, zones: &[&str]) -> Reply {
    Reply::Read {
        generation,
        evacuated: zones
            .iter()
            .map(|zone| (*zone).to_owned())
            .collect::<BTreeSet<_>>(),
    }
}

fn evacuate() -> Call {
    Call::Evacuate("z".to_owned())
}

fn give_back() -> Call {
    Call::Return("z".to_owned())
}

/// Calls with their times and answers.
fn check(calls: Vec<(u64, u64, Call, Reply)>) -> bool {
    let mut history = History::default();
    for (token, (began, ended, call, reply)) in calls.into_iter().enumerate() {
        history.begin(token as u64, began, call);
        history.end(token as u64, ended, reply);
    }
    history.check().is_ok()
}

#[rstest]
#[case::one_after_the_other(vec![
    (0, 10, put(0, 5), Reply::Done), (20, 30, put(5, 7), Reply::Done), (40, 50, Call::Read, read(7, &[])),
])]
#[case::two_at_a_time_with_one_winner(vec![
    (0, 10, put(0, 5), Reply::Done), (20, 40, put(5, 7), Reply::Done), (21, 39, put(5, 8), Reply::Conflict(7)),
])]
#[case::the_same_order_again(vec![
    (0, 10, put(0, 5), Reply::Unclear), (20, 30, put(0, 5), Reply::Done), (40, 50, put(0, 5), Reply::Done),
])]
#[case::an_unclear_order_that_was_taken(vec![
    (0, 10, put(0, 5), Reply::Unclear), (20, 30, Call::Read, read(5, &[])),
])]
#[case::an_unclear_order_that_was_not(vec![
    (0, 10, put(0, 5), Reply::Done), (11, 15, put(5, 7), Reply::Unclear), (20, 30, Call::Read, read(5, &[])),
])]
#[case::a_read_beside_an_order_sees_either(vec![
    (0, 10, put(0, 5), Reply::Done), (20, 90, put(5, 7), Reply::Done), (21, 30, Call::Read, read(7, &[])),
    (31, 40, Call::Read, read(7, &[])),
])]
#[case::evacuated_and_back(vec![
    (0, 10, put(0, 5), Reply::Done), (20, 30, evacuate(), Reply::Done), (40, 50, Call::Read, read(5, &["z"])),
    (60, 70, give_back(), Reply::Done), (80, 90, Call::Read, read(5, &[])),
])]
fn a_right_history_passes(#[case] calls: Vec<(u64, u64, Call, Reply)>) {
    assert!(check(calls));
}

#[rstest]
#[case::two_winners(vec![
    (0, 10, put(0, 5), Reply::Done), (20, 40, put(5, 7), Reply::Done), (21, 39, put(5, 8), Reply::Done),
])]
#[case::an_old_read(vec![
    (0, 10, put(0, 5), Reply::Done), (20, 30, put(5, 7), Reply::Done), (40, 50, Call::Read, read(5, &[])),
])]
#[case::a_read_that_goes_back(vec![
    (0, 10, put(0, 5), Reply::Done), (20, 90, put(5, 7), Reply::Done), (21, 30, Call::Read, read(7, &[])),
    (31, 40, Call::Read, read(5, &[])),
])]
#[case::an_order_that_is_lost(vec![
    (0, 10, put(0, 5), Reply::Done), (20, 30, put(0, 6), Reply::Done),
])]
#[case::the_same_order_refused(vec![
    (0, 10, put(0, 5), Reply::Done), (20, 30, put(0, 5), Reply::Conflict(5)),
])]
#[case::a_refusal_without_a_winner(vec![
    (0, 10, put(0, 5), Reply::Done), (20, 30, put(5, 7), Reply::Conflict(6)),
])]
#[case::an_order_that_is_taken_after_its_caller_gave_up(vec![
    (0, 10, put(0, 5), Reply::Done), (20, 30, evacuate(), Reply::Unclear), (40, 50, evacuate(), Reply::Done),
    (60, 70, give_back(), Reply::Done), (80, 90, Call::Read, read(5, &["z"])),
])]
#[case::a_refused_version_in_force(vec![
    (0, 10, put(0, 5), Reply::Done), (20, 40, put(5, 7), Reply::Conflict(5)),
])]
fn a_wrong_history_does_not(#[case] calls: Vec<(u64, u64, Call, Reply)>) {
    assert!(!check(calls));
}

#[test]
fn a_call_without_any_answer_may_have_been_taken_while_its_caller_waited() {
    let mut history = History::default();
    history.begin(1, 0, put(0, 5));
    history.begin(2, PATIENCE + 10, Call::Read);
    history.end(2, PATIENCE + 20, read(5, &[]));
    assert!(history.check().is_ok());
    history.begin(3, PATIENCE + 30, put(0, 6));
    history.end(3, PATIENCE + 40, Reply::Done);
    assert!(history.check().is_err(), "it was taken before");
}
