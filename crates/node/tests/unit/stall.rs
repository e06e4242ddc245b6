//! The detector of stalls, with times handed in.

use super::{LONGEST_TURN, LONGEST_WAIT, SUSPECT, StallDetector};
use std::time::{Duration, Instant};

const TURN: Duration = Duration::from_millis(50);

#[test]
fn a_process_that_has_its_turns_believes_its_calls() {
    let start = Instant::now();
    let mut detector = StallDetector::new(start);
    let mut now = start;
    for _ in 0..100 {
        now += TURN;
        detector.turn(now);
        assert!(!detector.is_stale(now, now));
    }
}

#[test]
fn after_a_stall_calls_are_stale_for_a_while() {
    let start = Instant::now();
    let mut detector = StallDetector::new(start);
    let thawed = start + LONGEST_TURN + TURN;
    detector.turn(thawed);
    assert!(
        detector.is_stale(thawed, thawed),
        "it may have waited at the socket all the while"
    );
    detector.turn(thawed + TURN);
    assert!(detector.is_stale(thawed + TURN, thawed + TURN));
    let later = thawed + SUSPECT;
    assert!(!detector.is_stale(later, later));
}

#[test]
fn a_call_that_waited_inside_the_process_is_stale() {
    let start = Instant::now();
    let detector = StallDetector::new(start);
    assert!(!detector.is_stale(start + LONGEST_WAIT, start));
    assert!(detector.is_stale(start + LONGEST_WAIT + TURN, start));
}
