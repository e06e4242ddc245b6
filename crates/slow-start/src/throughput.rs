//! Measurement of the demand and the outcomes of one sender at a destination, in time windows.

use std::collections::VecDeque;
use woadstall_decisions::api::{Duration, Time};

/// Number of complete windows that rates are averaged over. A sender of one request per second has
/// no request in most windows.
const MAX_WINDOWS: usize = 4;
/// Minimum number of outcomes in the last window for which the failed fraction is computed from
/// that window alone.
const MIN_WINDOW_OUTCOMES: u32 = 4;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was answered on time.
    OnTime,
    /// The request was answered late, rejected or not answered.
    Failed,
}

/// Mean rates over the last complete windows, in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Rate of requests for the destination, sent or not.
    pub demand: f64,
    /// Rate of requests that were answered on time.
    pub on_time: f64,
    /// Rate of requests that were answered late, rejected or not answered.
    pub failed: f64,
    /// Fraction of completed requests that failed. It covers the last window only if enough
    /// requests have completed in that window, and all averaged windows otherwise.
    pub failed_fraction: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowCounts {
    demand: u32,
    on_time: u32,
    failed: u32,
}

impl WindowCounts {
    fn plus(self, other: &Self) -> Self {
        Self {
            demand: self.demand.saturating_add(other.demand),
            on_time: self.on_time.saturating_add(other.on_time),
            failed: self.failed.saturating_add(other.failed),
        }
    }

    fn outcomes(&self) -> u32 {
        self.on_time + self.failed
    }

    fn failed_fraction(&self) -> f64 {
        let outcomes = self.outcomes();
        if outcomes == 0 {
            0.0
        } else {
            f64::from(self.failed) / f64::from(outcomes)
        }
    }
}

/// Counts requests and their outcomes in time windows.
#[derive(Clone, Debug)]
pub struct ThroughputMeter {
    window: Duration,
    window_start: Time,
    current: WindowCounts,
    /// Last complete windows, newest first.
    complete: VecDeque<WindowCounts>,
}

impl ThroughputMeter {
    /// Creates a meter without observations. `window` is the length of a window in nanoseconds.
    pub fn new(now: Time, window: Duration) -> Self {
        Self {
            window: window.max(1),
            window_start: now,
            current: WindowCounts::default(),
            complete: VecDeque::new(),
        }
    }

    /// Counts a request for the destination, whether it is sent or not.
    pub fn record_demand(&mut self) {
        self.current.demand = self.current.demand.saturating_add(1);
    }

    /// Counts the outcome of a request.
    pub fn record_outcome(&mut self, outcome: Outcome) {
        let count = match outcome {
            Outcome::OnTime => &mut self.current.on_time,
            Outcome::Failed => &mut self.current.failed,
        };
        *count = count.saturating_add(1);
    }

    /// Advances to the window of `now`, and returns whether it is a new window. Windows that were
    /// skipped, for example while the process was stopped, count as empty.
    pub fn advance(&mut self, now: Time) -> bool {
        let windows = now.saturating_sub(self.window_start) / self.window;
        for _ in 0..windows.min(MAX_WINDOWS as u64) {
            self.complete.push_front(std::mem::take(&mut self.current));
        }
        self.complete.truncate(MAX_WINDOWS);
        self.window_start += windows * self.window;
        windows > 0
    }

    /// Returns the mean rates over the last complete windows.
    pub fn rates(&self) -> Rates {
        let Some(latest) = self.complete.front() else {
            return Rates::default();
        };
        let sum = self
            .complete
            .iter()
            .fold(WindowCounts::default(), WindowCounts::plus);
        let seconds = self.complete.len() as f64 * self.window as f64 / NANOSECONDS_PER_SECOND;
        let rate = |count: u32| f64::from(count) / seconds;
        let is_latest_sufficient = latest.outcomes() >= MIN_WINDOW_OUTCOMES;
        let sample = if is_latest_sufficient { latest } else { &sum };
        Rates {
            demand: rate(sum.demand),
            on_time: rate(sum.on_time),
            failed: rate(sum.failed),
            failed_fraction: sample.failed_fraction(),
        }
    }
}
