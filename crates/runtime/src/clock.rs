//! The clock of the decision module.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use woadstall_engine::Time;

/// Unix time in nanoseconds, which an upstream's start can be given in, but never set back.
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
    /// The present time.
    pub fn now(&self) -> Time {
        self.time(Instant::now())
    }

    /// The time at an instant.
    pub fn time(&self, at: Instant) -> Time {
        self.start_unix + at.saturating_duration_since(self.start).as_nanos() as Time
    }

    /// The instant of a time.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_nanos(time.saturating_sub(self.start_unix))
    }
}
