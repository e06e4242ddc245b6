//! What balancers saw of nodos and zones: counted by each, told in few bytes, weighed together.
//!
//! A [`CallStats`] counts what this balancer's own calls came to. A [`HealthReport`] is what it tells of that. The
//! [`ReportTable`] holds the health reports of all, and its [`Assessment`] of a subject says how strongly they speak against it,
//! seen from one zone, with those left out that a tenth of liars could have made up. Nothing here does input or output
//! or reads a clock, and nothing decides: `woadstall-evacuation` does. The design is in `docs/evacuation.md`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod counts;
mod health_report;
mod hearing;
mod ledger;
mod subject;
mod weight;

pub use counts::CallCounts;
pub use health_report::{HealthReport, HealthReportError, Line};
pub use hearing::{Assessment, AssessmentQuery, ReportTable};
pub use ledger::{CallStats, CompletedAttempt, PendingAttempt};
pub use subject::{Subject, SubjectKind};
pub use weight::{
    EvidenceSum, SERVER_UNHEALTHY_LOG_ODDS, Symptom, UNHEALTHY_LOG_ODDS, enough, max_faulty,
};
