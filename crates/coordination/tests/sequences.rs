//! Sequences of increasing numbers.

mod support;

use support::{Service, next_number, number};

#[test]
fn the_numbers_of_a_sequence_start_at_1_and_increase() {
    let mut service = Service::new();
    for expected in 1..=5 {
        assert_eq!(service.execute(next_number("n")), number(expected));
    }
}

#[test]
fn sequences_are_independent() {
    let mut service = Service::new();
    service.execute(next_number("n"));
    assert_eq!(service.execute(next_number("m")), number(1));
    assert_eq!(service.execute(next_number("n")), number(2));
    assert_eq!(service.execute(next_number("n.")), number(1));
}

#[test]
fn numbers_increase_across_time_and_snapshots() {
    let mut service = Service::new();
    service.execute(next_number("n"));
    service.execute(next_number("m"));
    service.advance(1 << 40);
    service.checkpoint();
    service.restore_from_snapshot();
    assert_eq!(service.execute(next_number("n")), number(2));
    service.restore_from_snapshot();
    assert_eq!(service.execute(next_number("n")), number(3));
    assert_eq!(service.execute(next_number("m")), number(2));
}
