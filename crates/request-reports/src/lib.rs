//! Reports of requests that were late, refused, failed or sent again: one line each, written by balancers ([`RequestReport`]),
//! and what many of them tell together ([`Summary`]).
//!
//! No I/O and no clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod plot;
mod report;
mod summary;

pub use plot::plot;
pub use report::{AttemptOutcome, AttemptReport, Cause, MARK, ReportError, RequestReport};
pub use summary::Summary;
