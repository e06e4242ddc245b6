//! How well this member itself does: one that is slow, or has just stood still, has to doubt itself before others.

use std::time::Duration;

/// Lifeguard's local health: the worse, the slower it judges.
const WORST: u32 = 8;

/// See the module's documentation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth {
    score: u32,
    /// Until when nobody is accused, after a stand-still.
    quiet_until: u64,
    /// How often it has stood still.
    stalls: u64,
    /// It never doubts itself.
    plain: bool,
}

impl LocalHealth {
    /// One that has shown nothing yet; plain, it never doubts itself.
    pub fn new(plain: bool) -> Self {
        Self {
            plain,
            ..Self::default()
        }
    }

    /// How many times as long things take: 1 for a member in its full health.
    pub fn times(&self) -> u32 {
        1 + self.score
    }

    /// Something shows that it does worse, or better, than it should.
    pub fn shows(&mut self, worse: bool) {
        if self.plain {
            return;
        }
        self.score = if worse {
            (self.score + 1).min(WORST)
        } else {
            self.score.saturating_sub(1)
        };
    }

    /// It has stood still until now. It accuses nobody before others had time to tell what happened.
    pub fn stood_still(&mut self, now: u64, quiet: Duration) {
        self.score = (self.score + 2).min(WORST);
        self.stalls += 1;
        self.quiet_until = now.saturating_add(quiet.as_nanos() as u64);
    }

    /// Whether it may accuse others.
    pub fn may_accuse(&self, now: u64) -> bool {
        now >= self.quiet_until
    }

    /// How often it has stood still.
    pub fn stalls(&self) -> u64 {
        self.stalls
    }
}
