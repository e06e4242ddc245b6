//! Unit tests of `discovery`.

use super::*;
use crate::units::{MS, SECOND};

#[test]
fn reads_are_queued_and_fail_beyond_the_timeout() {
    let mut discovery = Discovery::new(20.0, SECOND);
    let reads: Vec<Read> = (0..30).map(|_| discovery.read(0)).collect();
    assert_eq!(reads[0], Read::Answered(50 * MS));
    assert_eq!(reads[19], Read::Answered(SECOND));
    assert!(reads[20..].iter().all(|read| *read == Read::Failed(SECOND)));
    assert_eq!(
        discovery.read(500 * MS),
        Read::Answered(1_050 * MS),
        "half of the queue is done"
    );
    discovery.set_down(true);
    assert_eq!(discovery.read(9 * SECOND), Read::Failed(10 * SECOND));
    discovery.set_down(false);
    assert_eq!(
        discovery.read(9 * SECOND),
        Read::Answered(9 * SECOND + 50 * MS)
    );
}
