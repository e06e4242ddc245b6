//! Reports of requests that were late, rejected, failed or retried: a front writes one log line for
//! each ([`RequestReport`]), and many of them are summarized as tables ([`Summary`]) and a plot
//! ([`render_svg`]).
//!
//! No I/O and no clock.

mod line;
mod outcome;
mod plot;
mod report;
mod summary;
mod tables;

pub use line::{LINE_PREFIX, ParseReportError};
pub use outcome::{AttemptOutcome, Cause};
pub use plot::{PlotError, render_svg};
pub use report::{AttemptReport, RequestReport};
pub use summary::{CauseCounts, Summary};
