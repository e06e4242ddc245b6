//! What a sender tells all others of a place that returns, in a fact's few bytes.

use crate::lease::Lease;
use crate::proof::Rates;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Form of the bytes: raised when what they mean changes.
const FORM: u8 = 1;
/// Leases in one report.
const MOST: usize = 8;

/// See the module's documentation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Calls a second that it would send there beyond what it may.
    pub unmet: f32,
    /// Calls a second that it had answered in time there: what it has proven.
    pub in_time: f32,
    /// And those that were late, turned away or lost.
    pub spoilt: f32,
    /// What it has given to others.
    pub leases: Vec<Lease>,
}

/// Bytes that are no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportError;

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no report of a form that is known here")
    }
}

impl std::error::Error for ReportError {}

impl Report {
    /// Of what was seen and may not be sent, with the largest of the leases.
    pub fn new(rates: &Rates, unmet: f64, mut leases: Vec<Lease>) -> Self {
        leases.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        leases.truncate(MOST);
        let Rates {
            in_time, spoilt, ..
        } = *rates;
        Self {
            unmet: unmet as f32,
            in_time: in_time as f32,
            spoilt: spoilt as f32,
            leases,
        }
    }

    /// As bytes, at most so many: the smallest leases are left out.
    pub fn write(&self, most: usize) -> Vec<u8> {
        let mut report = self.clone();
        loop {
            let bytes = postcard::to_extend(&report, vec![FORM]).unwrap_or_default();
            if bytes.len() <= most || report.leases.pop().is_none() {
                return bytes;
            }
        }
    }

    /// From bytes. Figures that are none are refused: they would spoil every sum that they come into.
    pub fn read(bytes: &[u8]) -> Result<Self, ReportError> {
        let (form, rest) = bytes.split_first().ok_or(ReportError)?;
        let (report, rest): (Self, _) = postcard::take_from_bytes(rest).map_err(|_| ReportError)?;
        let figures = [report.unmet, report.in_time, report.spoilt];
        let rates = report.leases.iter().map(|lease| lease.rate);
        let sound = figures
            .into_iter()
            .chain(rates)
            .all(|figure| figure.is_finite() && figure >= 0.0);
        let known = *form == FORM && rest.is_empty() && report.leases.len() <= MOST;
        if sound && known {
            Ok(report)
        } else {
            Err(ReportError)
        }
    }
}
