//! The leader's measurement of the state's clock.

use woadstall_consensus::Term;

/// Advances the state's clock by the leader's monotonic clock during one term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaseClock {
    /// The term that this machine leads.
    pub term: Term,
    /// The state's clock, in milliseconds, when this leader had applied all entries of former
    /// leaders.
    base_ms: u64,
    /// The leader's monotonic clock, in milliseconds, when the state's clock was at `base_ms`.
    started_ms: u64,
}

impl LeaseClock {
    /// Creates a clock that reads `base_ms` at the time `now` of the leader's monotonic clock.
    pub fn starting_at(term: Term, base_ms: u64, now: u64) -> Self {
        Self {
            term,
            base_ms,
            started_ms: now,
        }
    }

    /// The state's clock in milliseconds at the time `now` of the leader's monotonic clock.
    pub fn clock_ms_at(self, now: u64) -> u64 {
        self.base_ms + now.saturating_sub(self.started_ms)
    }
}
