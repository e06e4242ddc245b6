//! Tests of the bootstrap interval.

use super::*;

#[test]
fn interval_contains_the_mean_and_narrows_with_more_values() {
    let values = |count: usize| {
        (0..count)
            .map(|index| (index % 7) as f64)
            .collect::<Vec<_>>()
    };
    let (few, many) = (interval(&values(14)), interval(&values(1_400)));
    assert!(few.0 < 3.0 && 3.0 < few.1 && many.0 < 3.0 && 3.0 < many.1);
    // With 100 times as many values, the interval is narrower by the square root of 100.
    let narrower = (few.1 - few.0) / (many.1 - many.0);
    assert!((8.0..12.5).contains(&narrower), "{narrower}");
    assert_eq!(interval(&[0.5]), (0.5, 0.5));
}
