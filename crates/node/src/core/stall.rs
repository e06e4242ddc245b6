//! Notices that the process stood still. What waits at its sockets then may be older than its callers' patience, and an order
//! that its caller has given up must not be taken: another one may have been acknowledged since.

use std::time::{Duration, Instant};

/// How long one turn of the process may take; a turn is due every 50 ms.
const LONGEST_TURN: Duration = Duration::from_millis(500);
/// How long after a stall calls may still come out of the sockets' queues.
const SUSPECT: Duration = Duration::from_secs(1);
/// How long a call may have waited inside the process.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// Watches the process's turns.
#[derive(Debug)]
pub(super) struct StallDetector {
    last_turn: Instant,
    suspect_until: Option<Instant>,
}

impl StallDetector {
    /// A detector for a process that has its first turn now.
    pub fn new(now: Instant) -> Self {
        Self {
            last_turn: now,
            suspect_until: None,
        }
    }

    /// A turn begins.
    pub fn turn(&mut self, now: Instant) {
        if now.duration_since(self.last_turn) > LONGEST_TURN {
            self.suspect_until = Some(now + SUSPECT);
        }
        self.last_turn = now;
    }

    /// Whether a call that was read at this time may be older than it seems.
    pub fn is_stale(&self, now: Instant, read_at: Instant) -> bool {
        let is_suspect = self.suspect_until.is_some_and(|until| now < until);
        is_suspect || now.duration_since(read_at) > LONGEST_WAIT
    }
}

#[cfg(test)]
#[path = "../../tests/unit/stall.rs"]
mod tests;
