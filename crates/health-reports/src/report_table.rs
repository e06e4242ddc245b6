//! The newest health report of each member.

use crate::baseline::Baseline;
use crate::call_counts::CallCounts;
use crate::health_report::{HealthReport, HealthReportError};
use crate::subject::Subject;
use std::collections::BTreeMap;
use woadstall_decisions::api::Time;

/// The minimum decayed number of attempts for a report to count in an assessment. Also the minimum
/// fraction of failed or slow attempts that counts as evidence against a subject, where fewer than
/// one attempt counts as one.
pub(crate) const MIN_EVIDENCE: f64 = 0.1;
/// The minimum number of attempts at comparable subjects for a baseline to be known.
const MIN_BASELINE_ATTEMPTS: f64 = 5.0;

/// The newest report of a member.
#[derive(Clone, Debug)]
struct MemberReport {
    zone: String,
    reported_at: Time,
    counts: BTreeMap<Subject, CallCounts>,
}

/// The newest health reports of all other members.
#[derive(Clone, Debug, Default)]
pub struct ReportTable {
    by_owner: BTreeMap<String, MemberReport>,
}

/// The counts that one member has reported for a subject.
#[derive(Clone, Copy, Debug)]
pub struct ReportedCounts<'a> {
    /// The name of the member that made the report.
    pub owner: &'a str,
    /// The zone of the member that made the report.
    pub zone: &'a str,
    /// When the member made the report, in nanoseconds on the caller's clock.
    pub reported_at: Time,
    /// The counts, decayed to the time of the report.
    pub counts: &'a CallCounts,
}

impl ReportTable {
    /// Decodes a report that the member `owner` of a zone made at the time `reported_at`. The report
    /// replaces the member's former one.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a health report. The member's former report is then
    /// kept.
    pub fn insert(
        &mut self,
        owner: &str,
        zone: &str,
        reported_at: Time,
        bytes: &[u8],
    ) -> Result<(), HealthReportError> {
        let report = HealthReport::decode(bytes)?;
        let counts = report
            .entries
            .iter()
            .map(|entry| (entry.subject, entry.counts(reported_at)))
            .collect();
        self.by_owner.insert(
            owner.to_owned(),
            MemberReport {
                zone: zone.to_owned(),
                reported_at,
                counts,
            },
        );
        Ok(())
    }

    /// Removes the reports of members for which `is_present` returns false.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.by_owner.retain(|owner, _| is_present(owner));
    }

    /// Returns whether any member reports a significant fraction of failed or slow calls to a
    /// subject.
    pub fn has_evidence_against(&self, subject: &Subject, now: Time) -> bool {
        self.reports_on(subject).any(|report| {
            let counts = report.counts.decayed_to(now);
            counts.failed + counts.slow >= MIN_EVIDENCE * counts.attempts.max(1.0)
        })
    }

    /// Iterates over the reports on a subject, by the name of the member.
    pub fn reports_on(&self, subject: &Subject) -> impl Iterator<Item = ReportedCounts<'_>> {
        self.by_owner.iter().filter_map(move |(owner, report)| {
            let counts = report.counts.get(subject)?;
            Some(ReportedCounts {
                owner,
                zone: &report.zone,
                reported_at: report.reported_at,
                counts,
            })
        })
    }

    /// Returns the sum of the counts that all other members have reported for a subject, decayed to
    /// the time `now`.
    pub fn total(&self, now: Time, subject: &Subject) -> CallCounts {
        let add = |total: CallCounts, report: ReportedCounts<'_>| {
            total.merged(&report.counts.decayed_to(now))
        };
        self.reports_on(subject).fold(CallCounts::default(), add)
    }

    /// Returns the mean rates over some subjects, from the reports of the other members and from
    /// this balancer's own counts, which are given with each subject. All rates are 0 if too few
    /// calls are known.
    pub fn baseline<'a>(
        &self,
        now: Time,
        subjects: impl Iterator<Item = (Subject, &'a CallCounts)>,
    ) -> Baseline {
        let mut total = CallCounts::default();
        for (subject, own_counts) in subjects {
            total = total
                .merged(&own_counts.decayed_to(now))
                .merged(&self.total(now, &subject));
        }
        if total.attempts < MIN_BASELINE_ATTEMPTS {
            return Baseline::default();
        }
        Baseline {
            failure_rate: total.failure_rate().mean,
            degraded_rate: total.degraded_rate().mean,
        }
    }
}
