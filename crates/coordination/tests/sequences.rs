//! Sequences: numbers that rise.

mod support;

use support::{Service, next_number, number};

#[test]
fn numbers_of_a_sequence_rise_from_1() {
    let mut service = Service::new();
    for expected in 1..=5 {
        assert_eq!(service.execute(next_number("n")), number(expected));
    }
}

#[test]
fn sequences_do_not_share_their_numbers() {
    let mut service = Service::new();
    service.execute(next_number("n"));
    assert_eq!(service.execute(next_number("m")), number(1));
    assert_eq!(service.execute(next_number("n")), number(2));
    assert_eq!(service.execute(next_number("n.")), number(1));
}

#[test]
fn numbers_rise_over_time_and_snapshots() {
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
