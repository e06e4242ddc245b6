//! Stall detection with simulated time.

use super::{MAX_ITERATION_TIME, MAX_QUEUE_TIME, SUSPECT_PERIOD, StallDetector};
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
fn requests_are_stale_for_the_suspect_period_after_a_stall() {
    let start = Instant::now();
    let mut detector = StallDetector::new(start);
    let resumed = start + MAX_ITERATION_TIME + ITERATION;
    detector.record_iteration(resumed);
    assert!(
        detector.is_stale(resumed, resumed),
        "the request may have waited in the socket buffer during the stall"
    );
    detector.record_iteration(resumed + ITERATION);
    assert!(detector.is_stale(resumed + ITERATION, resumed + ITERATION));
    let later = resumed + SUSPECT_PERIOD;
    assert!(!detector.is_stale(later, later));
}

#[test]
fn requests_that_waited_in_the_process_are_stale() {
    let start = Instant::now();
    let detector = StallDetector::new(start);
    assert!(!detector.is_stale(start + MAX_QUEUE_TIME, start));
    assert!(detector.is_stale(start + MAX_QUEUE_TIME + ITERATION, start));
}
