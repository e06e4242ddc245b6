//! Reports on single requests that were late, rejected, failed or retried. A balancer writes one log
//! line for each such request ([`RequestReport`]). Many reports are summarized as tables
//! ([`Summary`]) and as a plot ([`render_svg`]).
//!
//! The crate does no I/O and reads no clock.

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
