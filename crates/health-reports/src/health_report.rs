//! What a balancer tells of its counts: the worst and the most of them that fit into a fact.

use crate::counts::CallCounts;
use crate::subject::Subject;
use serde::{Deserialize, Serialize};
use std::fmt;
use woadstall_decisions::api::Time;

/// Form of the bytes: raised when what they mean changes.
const FORM: u8 = 1;
/// Counts are told in quarters.
const PARTS: f64 = 4.0;
/// A count beyond this says no more.
const MOST: f64 = 1e4;
/// Lines that are read: what more there is comes from nobody who keeps to the bytes.
const LINES: usize = 64;

/// One subject's counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// What it is about.
    pub subject: Subject,
    /// In quarters of a call.
    tries: u16,
    failed: u16,
    late: u16,
}

impl Line {
    /// Counts as they are at a time.
    pub fn new(subject: Subject, counts: &CallCounts) -> Self {
        let part = |count: f64| (count.clamp(0.0, MOST) * PARTS).round() as u16;
        Self {
            subject,
            tries: part(counts.tries),
            failed: part(counts.failed),
            late: part(counts.late),
        }
    }

    /// The counts, said at a time. No more can have failed than were tried, whatever is said.
    pub fn counts(&self, at: Time) -> CallCounts {
        let whole = |count: u16| f64::from(count) / PARTS;
        let tries = whole(self.tries);
        let failed = whole(self.failed).min(tries);
        CallCounts::new(tries, failed, whole(self.late).min(tries - failed), at)
    }
}

/// What one tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthReport(pub Vec<Line>);

/// Bytes that are no health report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthReportError;

impl fmt::Display for HealthReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no health report of a form that is known here")
    }
}

impl std::error::Error for HealthReportError {}

impl HealthReport {
    /// As bytes: as many lines as fit, in their order.
    pub fn write(&self, most: usize) -> Vec<u8> {
        let mut bytes = vec![FORM];
        for line in &self.0 {
            let Ok(line) = postcard::to_stdvec(line) else {
                continue;
            };
            if bytes.len() + line.len() > most {
                break;
            }
            bytes.extend(line);
        }
        bytes
    }

    /// From bytes.
    pub fn read(bytes: &[u8]) -> Result<Self, HealthReportError> {
        let (form, mut rest) = bytes.split_first().ok_or(HealthReportError)?;
        let mut lines = Vec::new();
        while !rest.is_empty() {
            let (line, after) =
                postcard::take_from_bytes::<Line>(rest).map_err(|_| HealthReportError)?;
            lines.push(line);
            rest = after;
            if lines.len() > LINES {
                return Err(HealthReportError);
            }
        }
        if *form == FORM {
            Ok(Self(lines))
        } else {
            Err(HealthReportError)
        }
    }
}
