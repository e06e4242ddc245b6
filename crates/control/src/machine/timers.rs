//! The periodic work of a control machine.

/// The interval in milliseconds at which machines introduce themselves to each other.
const HELLO_INTERVAL_MS: u64 = 1_000;
/// The interval in milliseconds at which a machine that does not vote asks to join.
const JOIN_INTERVAL_MS: u64 = 500;
/// The interval in milliseconds at which received heartbeats are passed to the other machines.
const GOSSIP_INTERVAL_MS: u64 = 200;
/// The interval in milliseconds at which subscribers of the feed get the status of the machine.
const STATUS_INTERVAL_MS: u64 = 500;

/// A timer that fires at most once in an interval.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timer {
    due: u64,
    interval_ms: u64,
}

impl Timer {
    /// Whether the timer is due; if so, it starts again from now.
    pub fn fire(&mut self, now: u64) -> bool {
        let is_due = now >= self.due;
        if is_due {
            self.due = now + self.interval_ms;
        }
        is_due
    }
}

/// One timer for each kind of periodic work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timers {
    pub hello: Timer,
    pub join: Timer,
    pub gossip: Timer,
    pub status: Timer,
}

impl Timers {
    /// Timers that are due at once, except that a new machine first waits to hear from others
    /// before it asks to join.
    pub fn new(now: u64) -> Self {
        Self {
            hello: Timer {
                due: now,
                interval_ms: HELLO_INTERVAL_MS,
            },
            join: Timer {
                due: now + JOIN_INTERVAL_MS,
                interval_ms: JOIN_INTERVAL_MS,
            },
            gossip: Timer {
                due: now,
                interval_ms: GOSSIP_INTERVAL_MS,
            },
            status: Timer {
                due: now,
                interval_ms: STATUS_INTERVAL_MS,
            },
        }
    }
}
