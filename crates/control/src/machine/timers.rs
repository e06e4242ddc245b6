//! Timers for the periodic work of a control machine.

use crate::merge::REFRESH_INTERVAL_MS;

/// The interval in milliseconds at which machines send hello packets to each other.
const HELLO_INTERVAL_MS: u64 = 1_000;
/// The interval in milliseconds at which a non-voting machine asks to join the replica group.
const JOIN_INTERVAL_MS: u64 = 500;
/// The interval in milliseconds at which received heartbeats are passed to the other machines.
const GOSSIP_INTERVAL_MS: u64 = 200;
/// The interval in milliseconds at which feed subscribers are sent the status of the machine.
const STATUS_INTERVAL_MS: u64 = 500;

/// The interval in milliseconds at which registrations that no heartbeat repeats are sent to the
/// other machines.
const REPEAT_INTERVAL_MS: u64 = REFRESH_INTERVAL_MS;

/// A timer that fires at most once per interval.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timer {
    due_ms: u64,
    interval_ms: u64,
}

impl Timer {
    /// Returns whether the timer is due. A due timer is restarted, with its next interval counted
    /// from `now_ms`.
    pub fn fire(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.due_ms;
        if is_due {
            self.due_ms = now_ms + self.interval_ms;
        }
        is_due
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Timers {
    pub hello: Timer,
    pub join: Timer,
    pub gossip: Timer,
    pub repeat: Timer,
    pub status: Timer,
}

impl Timers {
    /// Creates timers that are due immediately, except for the join timer: a new machine first
    /// waits to hear from other machines.
    pub fn new(now_ms: u64) -> Self {
        Self {
            hello: Timer {
                due_ms: now_ms,
                interval_ms: HELLO_INTERVAL_MS,
            },
            join: Timer {
                due_ms: now_ms + JOIN_INTERVAL_MS,
                interval_ms: JOIN_INTERVAL_MS,
            },
            gossip: Timer {
                due_ms: now_ms,
                interval_ms: GOSSIP_INTERVAL_MS,
            },
            repeat: Timer {
                due_ms: now_ms + REPEAT_INTERVAL_MS,
                interval_ms: REPEAT_INTERVAL_MS,
            },
            status: Timer {
                due_ms: now_ms,
                interval_ms: STATUS_INTERVAL_MS,
            },
        }
    }
}
