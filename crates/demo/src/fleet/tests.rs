//! Tests of the scaling of the scenario.

use super::*;

#[test]
fn scenario_is_scaled_to_the_duration() {
    let (minute, half) = (scaled_scenario(60).unwrap(), scaled_scenario(30).unwrap());
    assert_eq!(minute.duration.seconds(), 60.0);
    assert_eq!(half.duration.seconds(), 30.0);
    assert!(!minute.fault.is_empty());
    assert_eq!(minute.fault.len(), half.fault.len());
    for (whole, half) in minute.fault.iter().zip(&half.fault) {
        assert_eq!(whole.at.seconds(), 2.0 * half.at.seconds());
    }
}
