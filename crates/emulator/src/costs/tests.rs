//! Unit tests of `costs`.

use super::*;

#[test]
fn rows_name_the_largest_sender_and_the_worst_second() {
    let mut costs = CostCounters::new(2);
    (0..10).for_each(|_| costs.count_request(1));
    for (second, sender) in [(0, 4), (2, 7), (2, 7), (2, 4), (5, 7)] {
        costs.count(second * SECOND + 1, 1, Cost::Handshakes, sender);
    }
    let names = ["one".to_owned(), "two".to_owned()];
    let [row] = &costs.rows(&names)[..] else {
        panic!("one line")
    };
    assert_eq!(
        (row.tier.as_str(), row.cost, row.total),
        ("two", Cost::Handshakes, 5)
    );
    assert_eq!(
        (row.per_request, row.largest_sender, row.worst_second),
        (0.5, (7, 0.6), (2, 3))
    );
}

#[test]
fn the_first_of_equal_counts_is_the_maximum() {
    assert_eq!(first_maximum(&[1, 3, 3, 0]), (1, 3));
    assert_eq!(first_maximum(&[]), (0, 0));
}
