//! The monotonic clock that supplies the engine's timestamps.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use woadstall_engine::Time;

/// A clock of Unix time in nanoseconds, the unit in which an upstream's start time can be given. The system time is
/// read once, at creation; the clock then advances monotonically and ignores adjustments of the system time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_unix: Time,
}

impl Default for Clock {
    fn default() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            start_unix: unix.as_nanos() as Time,
        }
    }
}

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.time(Instant::now())
    }

    /// Converts an instant to Unix time in nanoseconds. An instant before the clock's creation yields the creation
    /// time.
    pub fn time(&self, instant: Instant) -> Time {
        self.start_unix + instant.saturating_duration_since(self.start).as_nanos() as Time
    }

    /// Converts Unix time in nanoseconds to an instant. A time before the clock's creation yields the creation instant.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_nanos(time.saturating_sub(self.start_unix))
    }
}
