//! Detects that the process was suspended or starved of CPU time. Requests read from the sockets
//! afterwards may be older than the time-out of their callers. A command whose caller has given up
//! must not be executed, because a later command may have been acknowledged in the meantime.

use std::time::{Duration, Instant};

/// Maximum time between two iterations of the event loop, which iterates at least every 50 ms.
/// A longer time counts as a stall.
const MAX_ITERATION_TIME: Duration = Duration::from_millis(500);
/// Time after a stall during which requests from the socket buffers may be stale.
const SUSPECT_PERIOD: Duration = Duration::from_secs(1);
/// Maximum time for which a request may wait in the queues of this process.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(500);

/// Measures the time between iterations of the event loop.
#[derive(Debug)]
pub(super) struct StallDetector {
    last_iteration: Instant,
    suspect_until: Option<Instant>,
}

impl StallDetector {
    /// Creates a detector for an event loop that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            last_iteration: now,
            suspect_until: None,
        }
    }

    /// Records the start of an iteration.
    pub fn record_iteration(&mut self, now: Instant) {
        if now.duration_since(self.last_iteration) > MAX_ITERATION_TIME {
            self.suspect_until = Some(now + SUSPECT_PERIOD);
        }
        self.last_iteration = now;
    }

    /// Returns whether a request that was read from its socket at `received_at` may be older than
    /// its caller's time-out.
    pub fn is_stale(&self, now: Instant, received_at: Instant) -> bool {
        let is_suspect = self.suspect_until.is_some_and(|until| now < until);
        is_suspect || now.duration_since(received_at) > MAX_QUEUE_TIME
    }
}

#[cfg(test)]
mod tests;
