//! Representation of time in the state machine.

use std::time::Duration;

/// Nanoseconds of a monotonic clock, counted from an origin that the caller chooses.
pub type Timestamp = u64;

/// Converts a duration to nanoseconds. Settings keep durations far below the 584 years that fit
/// into 64 bits.
pub(crate) fn nanos(duration: Duration) -> u64 {
    duration.as_nanos() as u64
}
