//! The newest health report of each member.

use crate::baseline::Baseline;
use crate::call_counts::CallCounts;
use crate::health_report::{HealthReport, HealthReportError};
use crate::subject::Subject;
use std::collections::BTreeMap;
use woadstall_decisions::api::Time;

/// The least decayed attempts, and the least failures among them, that count as evidence.
pub(crate) const MIN_EVIDENCE: f64 = 0.1;
/// The attempts elsewhere from which on a baseline is known.
const MIN_BASELINE_ATTEMPTS: f64 = 5.0;

/// A member's newest report.
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

/// What one member reported of a subject.
#[derive(Clone, Copy, Debug)]
pub struct ReportedCounts<'a> {
    /// The member.
    pub owner: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// When the member made the report, in nanoseconds on the caller's clock.
    pub reported_at: Time,
    /// The counts as they were then.
    pub counts: &'a CallCounts,
}

impl ReportTable {
    /// Replaces the report of a member of a zone, made at the time `reported_at`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no health report; the member's former report is kept then.
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

    /// Removes the reports of members that are not present any more.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.by_owner.retain(|owner, _| is_present(owner));
    }

    /// Whether any member reports failed or slow calls of a subject.
    pub fn has_evidence_against(&self, subject: &Subject, now: Time) -> bool {
        self.reports_on(subject).any(|report| {
            let counts = report.counts.decayed_to(now);
            counts.failed + counts.slow >= MIN_EVIDENCE * counts.attempts.max(1.0)
        })
    }

    /// All reports on a subject.
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

    /// The sum of all members' counts of a subject.
    pub fn total(&self, now: Time, subject: &Subject) -> CallCounts {
        let add = |total: CallCounts, report: ReportedCounts<'_>| {
            total.merged(&report.counts.decayed_to(now))
        };
        self.reports_on(subject).fold(CallCounts::default(), add)
    }

    /// The usual rates of some subjects, from all members' counts and the own ones.
    pub fn baseline<'a>(
        &self,
        now: Time,
        subjects: impl Iterator<Item = (Subject, &'a CallCounts)>,
    ) -> Baseline {
        let mut total = CallCounts::default();
        for (subject, own) in subjects {
            total = total
                .merged(&own.decayed_to(now))
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
