//! Tracks consecutive failed calls and decides which failures to log.
//!
//! While discovery fails, the load balancer continues with the last list and counts as ready, so the log is the only
//! sign of the failure. A single line is easily missed; reminders are therefore logged at intervals that double.

use crate::CallError;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the first failed call of a streak to the first reminder.
const FIRST_REMINDER: Duration = Duration::from_secs(1);
/// Maximum interval between two reminders.
const MAX_REMINDER_INTERVAL: Duration = Duration::from_secs(60);

/// Whether, and how, a failed call is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureNotice {
    /// The first failure of a streak, which is logged.
    First,
    /// A failure after the reminder interval has elapsed, logged as a reminder of the streak.
    Reminder,
    /// A failure within the reminder interval, which is not logged.
    Quiet,
}

/// A failed call and its place in the streak of failures.
#[derive(Debug)]
pub struct FailedCall {
    /// The cause of the failure.
    pub error: CallError,
    /// Number of consecutive failed calls, including this one.
    pub failures: u32,
    /// Time since the first failure of the streak.
    pub duration: Duration,
    /// Whether, and how, the failure is logged.
    pub notice: FailureNotice,
}

/// The current streak of failed calls, if the last call failed.
#[derive(Debug, Default)]
pub(crate) struct FailureStreak(Option<Streak>);

#[derive(Clone, Copy, Debug)]
struct Streak {
    failures: u32,
    began: Instant,
    /// Earliest time of the next reminder.
    next_reminder: Instant,
    reminder_interval: Duration,
}

impl FailureStreak {
    /// Records a failed call.
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

    /// Records a successful call. Returns the number of failures in the streak that the success ends, if any.
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

    /// Returns the streak extended by a failed call, and how the call is logged.
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
