//! Conversions of times for protocols and decision code, which count in whole milliseconds.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Whole milliseconds, saturating.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The wall clock as the time since 1970-01-01 UTC; zero if it is set to before that.
pub(crate) fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
