//! Health reports: what balancers observed of servers and zones, counted by each, reported in few
//! bytes, and assessed together.
//!
//! [`CallStats`] counts the outcomes of this balancer's own calls. A [`HealthReport`] carries those
//! counts to the other balancers. The [`ReportTable`] holds the newest report of each, and its
//! [`Assessment`] of a [`Subject`] says how strong the evidence against it is, as seen from one
//! zone, without the weights that a tenth of faulty reporters could have made up.
//!
//! The crate does no I/O and reads no clock: times are nanoseconds on the caller's clock. It takes
//! no decisions; the evacuation crate does. The design is in `docs/evacuation.md`.

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
