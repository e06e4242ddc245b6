//! Lifeguard's local health awareness: a member that is slow or has just resumed from a pause
//! doubts its own observations before it suspects other members (Lifeguard, section IV-A).

use crate::time::{Timestamp, nanos};
use std::time::Duration;

/// Maximum score; time-outs grow at most by the factor `1 + MAX_SCORE`.
const MAX_SCORE: u32 = 8;
/// Amount that a pause of the process adds to the score.
const PAUSE_PENALTY: u32 = 2;

/// The local health score and the end of the quiet period after a pause.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth {
    /// 0 means healthy.
    score: u32,
    quiet_until: Timestamp,
    pauses: u64,
    /// Plain SWIM has no local health, so the score stays 0.
    is_disabled: bool,
}

impl LocalHealth {
    /// Creates the local health of a healthy member. Evidence does not change the score if
    /// `is_disabled`.
    pub fn new(is_disabled: bool) -> Self {
        Self {
            is_disabled,
            ..Self::default()
        }
    }

    /// Factor applied to time-outs: 1 for a healthy member, 9 at most.
    pub fn multiplier(&self) -> u32 {
        1 + self.score
    }

    /// Records evidence that the local member is slow or badly connected.
    pub fn degrade(&mut self) {
        if !self.is_disabled {
            self.score = (self.score + 1).min(MAX_SCORE);
        }
    }

    /// Records evidence that the local member works correctly.
    pub fn improve(&mut self) {
        if !self.is_disabled {
            self.score = self.score.saturating_sub(1);
        }
    }

    /// Records a pause of the process that ended at `now`. The local member suspects no other
    /// member for the duration `quiet_period`, so that queued messages from the time of the pause
    /// are processed first.
    pub fn record_pause(&mut self, now: Timestamp, quiet_period: Duration) {
        self.score = (self.score + PAUSE_PENALTY).min(MAX_SCORE);
        self.pauses += 1;
        self.quiet_until = now.saturating_add(nanos(quiet_period));
    }

    /// Whether the quiet period after a pause is over and other members may be suspected.
    pub fn may_suspect(&self, now: Timestamp) -> bool {
        now >= self.quiet_until
    }

    /// Number of pauses of the process.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}
