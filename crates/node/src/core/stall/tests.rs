//! The detector of stalls, with times handed in.

use super::{MAX_ITERATION, MAX_QUEUE_TIME, SUSPECT_PERIOD, StallDetector};
use std::time::{Duration, Instant};

const ITERATION: Duration = Duration::from_millis(50);

#[test]
fn requests_are_fresh_while_the_event_loop_iterates() {
    let start = Instant::now();
    let mut detector = StallDetector::new(start);
    let mut now = start;
    for _ in 0..100 {
        now += ITERATION;
        detector.record_iteration(now);
        assert!(!detector.is_stale(now, now));
    }
}

#[test]
fn requests_are_stale_for_a_while_after_a_stall() {
    let start = Instant::now();
    let mut detector = StallDetector::new(start);
    let thawed = start + MAX_ITERATION + ITERATION;
    detector.record_iteration(thawed);
    assert!(
        detector.is_stale(thawed, thawed),
        "it may have waited at the socket all the while"
    );
    detector.record_iteration(thawed + ITERATION);
    assert!(detector.is_stale(thawed + ITERATION, thawed + ITERATION));
    let later = thawed + SUSPECT_PERIOD;
    assert!(!detector.is_stale(later, later));
}

#[test]
fn requests_that_waited_in_the_process_are_stale() {
    let start = Instant::now();
    let detector = StallDetector::new(start);
    assert!(!detector.is_stale(start + MAX_QUEUE_TIME, start));
    assert!(detector.is_stale(start + MAX_QUEUE_TIME + ITERATION, start));
}
