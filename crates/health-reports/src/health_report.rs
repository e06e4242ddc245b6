//! The wire format of a balancer's counts: as many of them as fit into one fact of the membership
//! protocol.

use crate::call_counts::CallCounts;
use crate::packed_list::{self, PackedListError};
use crate::subject::Subject;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use woadstall_decisions::api::Time;

/// The version of the format: raised when the meaning of the bytes changes.
const VERSION: u8 = 1;
/// Counts are written in quarters of a call.
const UNITS_PER_CALL: f64 = 4.0;
/// The largest count that is written.
const MAX_COUNT: f64 = 1e4;
/// The most entries that are read: no sound sender writes more.
const MAX_ENTRIES: usize = 64;

/// The counts of one subject. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportEntry {
    /// The subject.
    pub subject: Subject,
    /// In quarters of a call, as the other two.
    attempts: u16,
    failed: u16,
    slow: u16,
}

impl ReportEntry {
    /// An entry with counts as they are at the time of the report.
    pub fn new(subject: Subject, counts: &CallCounts) -> Self {
        let units = |count: f64| (count.clamp(0.0, MAX_COUNT) * UNITS_PER_CALL).round() as u16;
        Self {
            subject,
            attempts: units(counts.attempts),
            failed: units(counts.failed),
            slow: units(counts.slow),
        }
    }

    /// The counts of a report that was made at a time. No more calls can have failed than were
    /// made, whatever the bytes say.
    pub fn counts(&self, at: Time) -> CallCounts {
        let calls = |units: u16| f64::from(units) / UNITS_PER_CALL;
        let attempts = calls(self.attempts);
        let failed = calls(self.failed).min(attempts);
        CallCounts::new(
            attempts,
            failed,
            calls(self.slow).min(attempts - failed),
            at,
        )
    }
}

/// A balancer's report of what it has observed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthReport {
    /// The counts by subject, the most important first.
    pub entries: Vec<ReportEntry>,
}

/// Why bytes are no health report.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HealthReportError {
    /// The bytes are no list of entries of this version.
    #[error("cannot decode health report")]
    List(#[from] PackedListError),
    /// There are more entries than any sender writes.
    #[error("health report has more than {MAX_ENTRIES} entries")]
    TooManyEntries,
}

impl HealthReport {
    /// Encodes as many entries as fit into `max_bytes`, in their order.
    pub fn encode(&self, max_bytes: usize) -> Vec<u8> {
        packed_list::encode(VERSION, self.entries.iter(), max_bytes)
    }

    /// Decodes a report.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no report of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, HealthReportError> {
        let entries: Vec<ReportEntry> = packed_list::decode(VERSION, bytes, MAX_ENTRIES + 1)?;
        if entries.len() > MAX_ENTRIES {
            return Err(HealthReportError::TooManyEntries);
        }
        Ok(Self { entries })
    }
}
