//! Tests of `costs`.

use super::*;

#[test]
fn rows_name_the_largest_sender_and_the_worst_second() {
    let mut prices = CostCounters::new(2);
    (0..10).for_each(|_| prices.request(1));
    for (second, sender) in [(0, 4), (2, 7), (2, 7), (2, 4), (5, 7)] {
        prices.pay(second * SECOND + 1, 1, Cost::Handshakes, sender);
    }
    let names = ["one".to_owned(), "two".to_owned()];
    let [row] = &prices.rows(&names)[..] else {
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
fn what_is_equal_goes_to_the_first() {
    assert_eq!(most(&[1, 3, 3, 0]), (1, 3));
    assert_eq!(most(&[]), (0, 0));
}
