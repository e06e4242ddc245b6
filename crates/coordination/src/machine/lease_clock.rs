//! How a leader continues the clock of the state.

use woadstall_consensus::Term;

/// The state's clock as the leader of a term measures it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaseClock {
    /// The term.
    pub term: Term,
    /// The state's clock when this leader had applied the entries of all former leaders.
    base_ms: u64,
    /// The leader's own clock at that moment.
    started_ms: u64,
}

impl LeaseClock {
    /// A clock that continues from `base_ms` at the time `now` of the leader's own clock.
    pub fn starting_at(term: Term, base_ms: u64, now: u64) -> Self {
        Self {
            term,
            base_ms,
            started_ms: now,
        }
    }

    /// The state's clock at a time of the leader's own clock.
    pub fn at(self, now: u64) -> u64 {
        self.base_ms + now.saturating_sub(self.started_ms)
    }
}
