//! Lifeguard's local health awareness: a member that is slow, or has just resumed from a pause, has
//! to doubt itself before it doubts others (Lifeguard, section IV-A).

use crate::time::{Timestamp, nanos};
use std::time::Duration;

/// The worst score; time-outs are at most `1 + MAX_SCORE` times as long.
const MAX_SCORE: u32 = 8;
/// What a pause of the process adds to the score.
const PAUSE_PENALTY: u32 = 2;

/// The local health score, and until when no member may be suspected.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth {
    /// 0 is healthy.
    score: u32,
    quiet_until: Timestamp,
    pauses: u64,
    /// Plain SWIM has no local health: the score stays 0.
    is_disabled: bool,
}

impl LocalHealth {
    /// A healthy member; a disabled score never changes.
    pub fn new(is_disabled: bool) -> Self {
        Self {
            is_disabled,
            ..Self::default()
        }
    }

    /// The factor by which time-outs grow: 1 for a healthy member, 9 at the worst.
    pub fn multiplier(&self) -> u32 {
        1 + self.score
    }

    /// Evidence that the local member is slow or badly connected.
    pub fn degrade(&mut self) {
        if !self.is_disabled {
            self.score = (self.score + 1).min(MAX_SCORE);
        }
    }

    /// Evidence that the local member works as it should.
    pub fn improve(&mut self) {
        if !self.is_disabled {
            self.score = self.score.saturating_sub(1);
        }
    }

    /// The process was paused until now. Nobody is suspected for the quiet time after it, so that
    /// what others say of the meantime is heard first.
    pub fn record_pause(&mut self, now: Timestamp, quiet: Duration) {
        self.score = (self.score + PAUSE_PENALTY).min(MAX_SCORE);
        self.pauses += 1;
        self.quiet_until = now.saturating_add(nanos(quiet));
    }

    /// Whether the local member may suspect others.
    pub fn may_suspect(&self, now: Timestamp) -> bool {
        now >= self.quiet_until
    }

    /// Pauses of the process so far.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}
