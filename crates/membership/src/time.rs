//! Time as the state machine is handed it.

use std::time::Duration;

/// Nanoseconds of one monotonic clock, counted from a start that the caller chooses.
pub type Timestamp = u64;

/// Nanoseconds of a duration; settings keep durations far below the 584 years that fit.
pub(crate) fn nanos(duration: Duration) -> u64 {
    duration.as_nanos() as u64
}
