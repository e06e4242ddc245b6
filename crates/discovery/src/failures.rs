//! Failed calls in a row, and which of them are worth a line of a log.
//!
//! A balancer whose discovery fails goes on with the last list, and counts as ready. A single line would be all that is
//! ever seen of that, so that it is repeated, at intervals that double.

use crate::CallError;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the first failed call in a row to the first reminder of it.
const FIRST_REMINDER: Duration = Duration::from_secs(1);
/// Longest time between two reminders.
const MAX_REMINDER_INTERVAL: Duration = Duration::from_secs(60);

/// Whether a failed call is worth a line of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureNotice {
    /// The first of one or more in a row.
    First,
    /// Calls have been failing for a while, and nothing was said of it lately.
    Reminder,
    /// One of many.
    Quiet,
}

/// A failed call.
#[derive(Debug)]
pub struct FailedCall {
    /// Why it failed.
    pub error: CallError,
    /// How many calls in a row have failed, with this one.
    pub failures: u32,
    /// Time since the first of them failed.
    pub duration: Duration,
    /// Whether it is worth a line of a log.
    pub notice: FailureNotice,
}

/// Failed calls in a row.
#[derive(Debug, Default)]
pub(crate) struct FailureStreak(Option<Streak>);

#[derive(Clone, Copy, Debug)]
struct Streak {
    failures: u32,
    began: Instant,
    next_reminder: Instant,
    reminder_interval: Duration,
}

impl FailureStreak {
    /// Adds a failed call.
    pub fn add(&mut self, error: CallError) -> FailedCall {
        let now = Instant::now();
        let (streak, notice) = match self.0 {
            None => (Streak::begin(now), FailureNotice::First),
            Some(streak) => streak.extended(now),
        };
        self.0 = Some(streak);
        FailedCall {
            error,
            failures: streak.failures,
            duration: now - streak.began,
            notice,
        }
    }

    /// A call has succeeded. How many had failed in a row, if any.
    pub fn end(&mut self) -> Option<u32> {
        self.0.take().map(|streak| streak.failures)
    }
}

impl Streak {
    fn begin(now: Instant) -> Self {
        Self {
            failures: 1,
            began: now,
            next_reminder: now + FIRST_REMINDER,
            reminder_interval: FIRST_REMINDER,
        }
    }

    fn extended(mut self, now: Instant) -> (Self, FailureNotice) {
        self.failures = self.failures.saturating_add(1);
        if now < self.next_reminder {
            return (self, FailureNotice::Quiet);
        }
        self.reminder_interval = (self.reminder_interval * 2).min(MAX_REMINDER_INTERVAL);
        self.next_reminder = now + self.reminder_interval;
        (self, FailureNotice::Reminder)
    }
}
