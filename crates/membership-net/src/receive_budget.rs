//! How much of its time a member spends on what it receives, so that a flood costs no more.

#[cfg(test)]
mod tests;

use std::time::Duration;
use woadstall_membership::Timestamp;

/// One nanosecond in this many is spent on what is received.
const TIME_DIVISOR: u64 = 20;
/// Nanoseconds that may be spent at once after a quiet time: the state of a large fleet comes in
/// bursts.
const MAX_BURST: u64 = 50_000_000;

/// A token bucket of nanoseconds.
#[derive(Clone, Debug)]
pub struct ReceiveBudget {
    /// What is left; less than 0 where more was spent than there was.
    left: i64,
    refilled_at: Timestamp,
}

impl Default for ReceiveBudget {
    fn default() -> Self {
        Self {
            left: MAX_BURST as i64,
            refilled_at: 0,
        }
    }
}

impl ReceiveBudget {
    /// How long to wait until time may be spent again; `None` where it may be now.
    pub fn wait(&mut self, now: Timestamp) -> Option<Duration> {
        let gained = now.saturating_sub(self.refilled_at) / TIME_DIVISOR;
        // What is less than a nanosecond is gained next time.
        self.refilled_at += gained * TIME_DIVISOR;
        let left = self.left.saturating_add(gained as i64);
        self.left = left.min(MAX_BURST as i64);
        let deficit = self.left.unsigned_abs() * TIME_DIVISOR;
        (self.left < 0).then(|| Duration::from_nanos(deficit))
    }

    /// Time was spent. It may be more than there was, and is paid off then.
    pub fn spend(&mut self, time: Duration) {
        let spent = time.as_nanos().min(MAX_BURST.into()) as i64;
        self.left = self.left.saturating_sub(spent);
    }
}
