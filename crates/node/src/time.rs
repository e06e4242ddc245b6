//! Time conversions for protocols and decision logic, which use whole milliseconds.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Converts a duration to whole milliseconds, rounded down and saturating at `u64::MAX`.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the wall-clock time since 1970-01-01 UTC; zero if the clock is set to an earlier time.
pub(crate) fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
