//! Tests of the scaling of the scenario.

use super::*;

#[test]
fn scenario_is_scaled_to_the_duration() {
    let (minute, half_minute) = (scaled_scenario(60).unwrap(), scaled_scenario(30).unwrap());
    assert_eq!(minute.duration.seconds(), 60.0);
    assert_eq!(half_minute.duration.seconds(), 30.0);
    assert!(!minute.fault.is_empty());
    assert_eq!(minute.fault.len(), half_minute.fault.len());
    for (fault, scaled_fault) in minute.fault.iter().zip(&half_minute.fault) {
        assert_eq!(fault.at.seconds(), 2.0 * scaled_fault.at.seconds());
    }
}
