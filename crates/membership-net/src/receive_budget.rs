//! Budget of the time spent on received messages, which bounds the processing cost of a flood.

#[cfg(test)]
mod tests;

use std::time::Duration;
use woadstall_membership::Timestamp;

/// One nanosecond in this many is available for received messages.
const TIME_DIVISOR: u64 = 20;
/// Maximum number of nanoseconds available at once after a quiet time, since the state of a large
/// fleet arrives in bursts.
const MAX_BURST_NS: u64 = 50_000_000;

/// A token bucket that counts nanoseconds.
#[derive(Clone, Debug)]
pub struct ReceiveBudget {
    /// Nanoseconds left in the bucket; negative after more time was spent than available.
    balance_ns: i64,
    refilled_at: Timestamp,
}

impl Default for ReceiveBudget {
    fn default() -> Self {
        Self {
            balance_ns: MAX_BURST_NS as i64,
            refilled_at: 0,
        }
    }
}

impl ReceiveBudget {
    /// Time to wait until received messages may be processed, or `None` if they may be processed
    /// now.
    pub fn wait(&mut self, now: Timestamp) -> Option<Duration> {
        let gained = now.saturating_sub(self.refilled_at) / TIME_DIVISOR;
        // Fractions of a nanosecond are carried over to the next refill.
        self.refilled_at += gained * TIME_DIVISOR;
        let balance_ns = self.balance_ns.saturating_add(gained as i64);
        self.balance_ns = balance_ns.min(MAX_BURST_NS as i64);
        let deficit = self.balance_ns.unsigned_abs() * TIME_DIVISOR;
        (self.balance_ns < 0).then(|| Duration::from_nanos(deficit))
    }

    /// Deducts spent time. Time spent beyond the available amount is paid back by later refills.
    pub fn spend(&mut self, time: Duration) {
        let spent = time.as_nanos().min(MAX_BURST_NS.into()) as i64;
        self.balance_ns = self.balance_ns.saturating_sub(spent);
    }
}
