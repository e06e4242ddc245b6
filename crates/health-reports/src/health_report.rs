//! The wire format of a balancer's health report. It has as many counts as fit into one record of the
//! membership protocol.

use crate::call_counts::CallCounts;
use crate::packed_list::{self, PackedListError};
use crate::subject::Subject;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use woadstall_decisions::api::Time;

/// The version of the wire format. It is raised when the meaning of the bytes changes.
const VERSION: u8 = 1;
/// Counts are encoded in quarters of a call.
const UNITS_PER_CALL: f64 = 4.0;
/// The largest count that is encoded, in calls. Larger counts are reduced to it.
const MAX_COUNT: f64 = 1e4;
/// The maximum number of entries in a report. A sender without faults never exceeds it.
const MAX_ENTRIES: usize = 64;

/// The counts of one subject in a health report. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportEntry {
    /// The subject that the counts are about.
    pub subject: Subject,
    /// The number of attempts, in quarters of a call.
    attempts: u16,
    /// The number of failed attempts, in quarters of a call.
    failed: u16,
    /// The number of slow attempts, in quarters of a call.
    slow: u16,
}

impl ReportEntry {
    /// Creates an entry from counts that are decayed to the time of the report.
    pub fn new(subject: Subject, counts: &CallCounts) -> Self {
        let units = |count: f64| (count.clamp(0.0, MAX_COUNT) * UNITS_PER_CALL).round() as u16;
        Self {
            subject,
            attempts: units(counts.attempts),
            failed: units(counts.failed),
            slow: units(counts.slow),
        }
    }

    /// Returns the counts of a report that was made at the time `reported_at`, in nanoseconds.
    /// Contradictory entries are corrected: there are never more failed and slow calls than
    /// attempts.
    pub fn counts(&self, reported_at: Time) -> CallCounts {
        let calls = |units: u16| f64::from(units) / UNITS_PER_CALL;
        let attempts = calls(self.attempts);
        let failed = calls(self.failed).min(attempts);
        CallCounts::new(
            attempts,
            failed,
            calls(self.slow).min(attempts - failed),
            reported_at,
        )
    }
}

/// A balancer's report on its own recent calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthReport {
    /// The counts by subject, the most important first.
    pub entries: Vec<ReportEntry>,
}

/// The reason why bytes cannot be decoded as a health report.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HealthReportError {
    /// The bytes are not an encoded list of entries of this version.
    #[error("cannot decode health report")]
    List(#[from] PackedListError),
    /// The report has more entries than a sender without faults encodes.
    #[error("health report has more than {MAX_ENTRIES} entries")]
    TooManyEntries,
}

impl HealthReport {
    /// Encodes the leading entries that fit into `max_bytes`, in the given order.
    pub fn encode(&self, max_bytes: usize) -> Vec<u8> {
        packed_list::encode(VERSION, self.entries.iter(), max_bytes)
    }

    /// Decodes a report.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are empty, of another version, malformed, or a report with too
    /// many entries.
    pub fn decode(bytes: &[u8]) -> Result<Self, HealthReportError> {
        let entries: Vec<ReportEntry> = packed_list::decode(VERSION, bytes, MAX_ENTRIES + 1)?;
        if entries.len() > MAX_ENTRIES {
            return Err(HealthReportError::TooManyEntries);
        }
        Ok(Self { entries })
    }
}
