//! Compact report of a sender to all other senders about a recovering destination.

use crate::lease::Lease;
use crate::throughput::Rates;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the encoding, which is the first byte of a report.
const FORMAT_VERSION: u8 = 1;
/// Maximum number of leases in one report.
const MAX_LEASES: usize = 8;

/// Report of one sender. Rates are in requests per second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Demand that exceeds the rate at which the sender may send.
    pub unmet_demand: f32,
    /// Rate of requests that were answered on time.
    pub on_time: f32,
    /// Rate of requests that were answered late, rejected or not answered.
    pub failed: f32,
    /// Leases that the sender has granted.
    pub leases: Vec<Lease>,
}

/// Error while decoding a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReportError {
    /// The input is empty.
    #[error("the report is empty")]
    Empty,
    /// The report has an unsupported version of the encoding.
    #[error("the report has format version {0}, expected {FORMAT_VERSION}")]
    UnsupportedVersion(u8),
    /// The bytes are not a valid encoding of a report.
    #[error("the report has an invalid encoding")]
    Encoding,
    /// A rate is negative or not finite. Such a rate would corrupt every sum that includes it.
    #[error("the report has a rate that is negative or not finite")]
    Rate,
    /// The report contains more leases than allowed.
    #[error("the report has {0} leases, at most {MAX_LEASES} are allowed")]
    TooManyLeases(usize),
}

impl Report {
    /// Creates a report of these rates with the largest of the leases. `unmet_demand` is in
    /// requests per second.
    pub fn new(rates: &Rates, unmet_demand: f64, mut leases: Vec<Lease>) -> Self {
        leases.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        leases.truncate(MAX_LEASES);
        Self {
            unmet_demand: unmet_demand as f32,
            on_time: rates.on_time as f32,
            failed: rates.failed as f32,
            leases,
        }
    }

    /// Encodes the report. Omits the smallest leases until the encoding fits into `max_bytes`.
    pub fn encode(&self, max_bytes: usize) -> Vec<u8> {
        let mut report = self.clone();
        loop {
            let bytes = postcard::to_extend(&report, vec![FORMAT_VERSION]).unwrap_or_default();
            if bytes.len() <= max_bytes || report.leases.pop().is_none() {
                return bytes;
            }
        }
    }

    /// Decodes a report.
    ///
    /// # Errors
    ///
    /// Returns a [`ReportError`] if the bytes are not a report of this version, or if the report
    /// has an invalid rate or too many leases.
    pub fn decode(bytes: &[u8]) -> Result<Self, ReportError> {
        let (version, encoded) = bytes.split_first().ok_or(ReportError::Empty)?;
        if *version != FORMAT_VERSION {
            return Err(ReportError::UnsupportedVersion(*version));
        }
        let (report, rest): (Self, &[u8]) =
            postcard::take_from_bytes(encoded).map_err(|_| ReportError::Encoding)?;
        if !rest.is_empty() {
            return Err(ReportError::Encoding);
        }
        if !report.has_valid_rates() {
            return Err(ReportError::Rate);
        }
        if report.leases.len() > MAX_LEASES {
            return Err(ReportError::TooManyLeases(report.leases.len()));
        }
        Ok(report)
    }

    fn has_valid_rates(&self) -> bool {
        let own_rates = [self.unmet_demand, self.on_time, self.failed];
        let lease_rates = self.leases.iter().map(|lease| lease.rate);
        let mut rates = own_rates.into_iter().chain(lease_rates);
        rates.all(|rate| rate.is_finite() && rate >= 0.0)
    }
}
