//! What a sender's own calls to a place came to, window by window: what it asked for, what was ended in time.

use std::collections::VecDeque;
use woadstall_decisions::api::{Duration, Time};

/// Windows that a rate is the mean of: a sender of one call a second has none in most, and proved nothing in these.
const WINDOWS: usize = 4;
/// Calls that ended in a window, from which it shows by itself that answers come late.
const SHOWS: u32 = 4;

/// Calls a second over the last whole windows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Asked for, whether they could be sent or not.
    pub asked: f64,
    /// Answered in time.
    pub in_time: f64,
    /// Answered late, turned away, or not answered at all.
    pub spoilt: f64,
    /// The part of what was ended that came late or not at all: of the last window alone, where enough did.
    pub spoilt_part: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: u32,
    in_time: u32,
    spoilt: u32,
}

impl Counts {
    fn part(&self) -> f64 {
        let ended = self.in_time + self.spoilt;
        if ended == 0 {
            0.0
        } else {
            f64::from(self.spoilt) / f64::from(ended)
        }
    }
}

/// See the module's documentation.
#[derive(Clone, Debug)]
pub struct Proof {
    window: Duration,
    began: Time,
    counts: Counts,
    /// The last whole windows, the latest first.
    past: VecDeque<Counts>,
}

impl Proof {
    /// One that has seen nothing.
    pub fn new(now: Time, window: Duration) -> Self {
        Self {
            window: window.max(1),
            began: now,
            counts: Counts::default(),
            past: VecDeque::new(),
        }
    }

    /// A call wants to go there.
    pub fn asked(&mut self) {
        self.counts.asked = self.counts.asked.saturating_add(1);
    }

    /// One has ended there.
    pub fn ended(&mut self, in_time: bool) {
        let count = if in_time {
            &mut self.counts.in_time
        } else {
            &mut self.counts.spoilt
        };
        *count = count.saturating_add(1);
    }

    /// Goes on to the window that `now` lies in. Whether that is another one than before. In windows that were missed, as
    /// by a process that stood still, nothing was proven.
    pub fn goes_on(&mut self, now: Time) -> bool {
        let windows = now.saturating_sub(self.began) / self.window;
        for _ in 0..windows.min(WINDOWS as u64) {
            self.past.push_front(std::mem::take(&mut self.counts));
        }
        self.past.truncate(WINDOWS);
        self.began += windows * self.window;
        windows > 0
    }

    /// Of the last whole windows.
    pub fn last(&self) -> Rates {
        let Some(latest) = self.past.front() else {
            return Rates::default();
        };
        let all = self.past.iter().fold(Counts::default(), |all, one| Counts {
            asked: all.asked.saturating_add(one.asked),
            in_time: all.in_time.saturating_add(one.in_time),
            spoilt: all.spoilt.saturating_add(one.spoilt),
        });
        let seconds = self.past.len() as f64 * self.window as f64 / 1e9;
        let rate = |count: u32| f64::from(count) / seconds;
        let alone = latest.in_time + latest.spoilt >= SHOWS;
        Rates {
            asked: rate(all.asked),
            in_time: rate(all.in_time),
            spoilt: rate(all.spoilt),
            spoilt_part: if alone { latest.part() } else { all.part() },
        }
    }
}
