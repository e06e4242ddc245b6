//! Tests of the parsers for command-line values.

use super::*;

#[test]
fn seeds_are_numbers_and_ranges() {
    assert_eq!(parse_seeds("1..3, 9").unwrap(), [1, 2, 3, 9]);
    assert!(
        parse_seeds("3..1").is_err()
            && parse_seeds("x").is_err()
            && parse_seeds("0..99999999").is_err()
    );
}
