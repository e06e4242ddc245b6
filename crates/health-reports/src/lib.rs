//! Health reports on servers and zones. Each balancer counts the outcomes of its own calls and
//! reports the counts to the other balancers in a few bytes. Each balancer assesses all reports
//! together.
//!
//! [`CallStats`] counts the outcomes of this balancer's own calls. A [`HealthReport`] carries these
//! counts to the other balancers. [`ReportTable`] holds the newest report of each other balancer and
//! assesses a [`Subject`] from the view of one zone. The [`Assessment`] states the strength of the
//! evidence against the subject and tolerates that a tenth of the reporters are faulty.
//!
//! The crate does no I/O and reads no clock: times are nanoseconds on the caller's clock. It makes
//! no decisions; those are made by `woadstall-evacuation`. The design is described in
//! `docs/evacuation.md`.

mod assessment;
mod baseline;
mod call_counts;
mod call_stats;
mod cusum;
mod health_report;
mod log_odds;
pub mod packed_list;
mod report_table;
mod subject;

pub use assessment::{Assessment, AssessmentQuery};
pub use baseline::Baseline;
pub use call_counts::{CallCounts, RateEstimate};
pub use call_stats::{
    AttemptId, CallStats, CompletedAttempt, PendingAttempt, ServerStats, SubjectStats,
};
pub use health_report::{HealthReport, HealthReportError, ReportEntry};
pub use log_odds::{
    EvidenceSum, EvidenceThreshold, Reporters, SERVER_UNHEALTHY_LOG_ODDS, Symptom,
    UNHEALTHY_LOG_ODDS, WeightedReport, max_faulty,
};
pub use report_table::{ReportTable, ReportedCounts};
pub use subject::{Subject, SubjectKind};
