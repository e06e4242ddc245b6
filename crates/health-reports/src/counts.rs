//! Counts of calls that fade.

use woadstall_decisions::api::Time;

/// Time over which counts fade: a sender of one call in two seconds still holds its last failure when the next comes,
/// and what was is over soon enough to see that it is.
pub const FADES: f64 = 5e9;

/// The same for what was well: where all zones begin to fail together, each looks well by its past beside the first of
/// which word comes.
const WELL_FADES: f64 = 1.5e9;

/// Calls of late: tries, and of these the failed and the late ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// All that have ended, and those that are overdue.
    pub tries: f64,
    /// Those that failed.
    pub failed: f64,
    /// Those that were answered far later than usual.
    pub late: f64,
    at: Time,
}

impl CallCounts {
    /// So many, as they are at a time.
    pub fn new(tries: f64, failed: f64, late: f64, at: Time) -> Self {
        Self {
            tries,
            failed,
            late,
            at,
        }
    }

    /// As they are at a later time, where they fade over so long.
    fn faded(&self, now: Time, over: f64) -> Self {
        let passed = now.saturating_sub(self.at) as f64;
        let kept = (-passed / over + passed / FADES).exp();
        let Self {
            tries,
            failed,
            late,
            at,
        } = *self;
        Self {
            tries: tries * kept,
            failed: failed * kept,
            late: late * kept,
            at,
        }
        .at(now)
    }

    /// As they are at a later time.
    pub fn at(&self, now: Time) -> Self {
        let kept = (-(now.saturating_sub(self.at) as f64) / FADES).exp();
        let Self {
            tries,
            failed,
            late,
            at,
        } = *self;
        Self {
            tries: tries * kept,
            failed: failed * kept,
            late: late * kept,
            at: at.max(now),
        }
    }

    /// One call more.
    pub fn add(&mut self, now: Time, failed: bool, late: bool) {
        let part = |is: bool| f64::from(u8::from(is));
        *self = self.at(now);
        self.tries += 1.0;
        self.failed += part(failed);
        self.late += part(late && !failed);
    }

    /// Tries a second.
    pub fn a_second(&self, now: Time) -> f64 {
        self.at(now).tries * 1e9 / FADES
    }

    /// Both together, at the later time of the two.
    pub fn and(&self, other: &Self) -> Self {
        let now = self.at.max(other.at);
        let (a, b) = (self.at(now), other.at(now));
        Self {
            tries: a.tries + b.tries,
            failed: a.failed + b.failed,
            late: a.late + b.late,
            at: now,
        }
    }

    /// The part that failed, with how far it may be off on both sides (two deviations).
    pub fn failing(&self) -> (f64, f64, f64) {
        spread(self.failed, self.tries)
    }

    /// The part that failed or was late, likewise.
    pub fn spoilt(&self) -> (f64, f64, f64) {
        spread(self.failed + self.late, self.tries)
    }
}

/// The logarithm of the odds that one call adds where something is ill, by what is usual at best: failed or not, late or
/// not.
const RISES: [(f64, f64); 2] = [(3.2, -0.67), (2.1, -0.63)];
/// So high at most: what was ill for long must not look so for long after.
const HIGH: f64 = 8.0;

/// Calls of late, cut where they turn bad: what was well before says nothing of what is ill now (Page's cumulative sum).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CusumCounts {
    all: CallCounts,
    since: CallCounts,
    rise: [f64; 2],
    answered_at: Time,
}

impl CusumCounts {
    /// One call more.
    pub fn add(&mut self, now: Time, failed: bool, late: bool) {
        let kept = (-(now.saturating_sub(self.since.at) as f64) / FADES).exp();
        self.all = self.all.faded(now, WELL_FADES);
        self.all.add(now, failed, late);
        self.since.add(now, failed, late);
        if !failed && !late {
            self.answered_at = now;
        }
        for (rise, (is, (up, down))) in self
            .rise
            .iter_mut()
            .zip([failed, failed || late].into_iter().zip(RISES))
        {
            *rise = (*rise * kept + if is { up } else { down }).clamp(0.0, HIGH);
        }
        if self.rise == [0.0; 2] {
            self.since = CallCounts {
                at: now,
                ..CallCounts::default()
            };
        }
    }

    /// A call that was counted as late turns out to be stuck: it counts as failed instead.
    pub fn sticks(&mut self, now: Time) {
        self.all = self.all.faded(now, WELL_FADES);
        self.since = self.since.at(now);
        for counts in [&mut self.all, &mut self.since] {
            (counts.failed, counts.late) = (counts.failed + 1.0, (counts.late - 1.0).max(0.0));
            counts.tries = counts.tries.max(counts.failed + counts.late);
        }
        self.rise = [(self.rise[0] + RISES[0].0).min(HIGH), self.rise[1]];
    }

    /// When a call was last answered in time; 0 for never.
    pub fn answered_at(&self) -> Time {
        self.answered_at
    }

    /// Since it turned bad, if it did; else all of late.
    pub fn counts(&self, now: Time) -> CallCounts {
        if self.rise == [0.0; 2] {
            self.all.faded(now, WELL_FADES)
        } else {
            self.since.at(now)
        }
    }
}

/// The mean and its bounds, of a Beta distribution from an even guess.
fn spread(hits: f64, of: f64) -> (f64, f64, f64) {
    let (a, b) = (hits.max(0.0) + 0.5, (of - hits).max(0.0) + 0.5);
    let mean = a / (a + b);
    let deviation = (mean * (1.0 - mean) / (a + b + 1.0)).sqrt();
    (
        (mean - 2.0 * deviation).max(0.0),
        mean,
        (mean + 2.0 * deviation).min(1.0),
    )
}
