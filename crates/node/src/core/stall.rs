//! Detects that the process was suspended or starved. Requests that wait at its sockets then may be
//! older than their callers' time-out. An order that its caller has given up must not be executed:
//! another one may have been acknowledged since.

use std::time::{Duration, Instant};

/// How long one iteration of the event loop may take; one is due every 50 ms.
const MAX_ITERATION: Duration = Duration::from_millis(500);
/// How long after a stall requests may still arrive from the sockets' buffers.
const SUSPECT_PERIOD: Duration = Duration::from_secs(1);
/// How long a request may have waited inside the process.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(500);

/// Measures the iterations of the event loop.
#[derive(Debug)]
pub(super) struct StallDetector {
    last_iteration: Instant,
    suspect_until: Option<Instant>,
}

impl StallDetector {
    /// A detector for an event loop that begins now.
    pub fn new(now: Instant) -> Self {
        Self {
            last_iteration: now,
            suspect_until: None,
        }
    }

    /// Notes that an iteration begins.
    pub fn record_iteration(&mut self, now: Instant) {
        if now.duration_since(self.last_iteration) > MAX_ITERATION {
            self.suspect_until = Some(now + SUSPECT_PERIOD);
        }
        self.last_iteration = now;
    }

    /// Whether a request that was read at `received_at` may be older than its caller's time-out.
    pub fn is_stale(&self, now: Instant, received_at: Instant) -> bool {
        let is_suspect = self.suspect_until.is_some_and(|until| now < until);
        is_suspect || now.duration_since(received_at) > MAX_QUEUE_TIME
    }
}

#[cfg(test)]
mod tests;
