//! Detection of members whose health reports contradict the evidence of the other members. Such
//! members may be faulty.

use super::{Coordinator, LogLine};
use std::collections::BTreeMap;
use woadstall_decisions::api::Time;
use woadstall_health_reports::Symptom;

/// A report speaks against a domain if its log odds of the domain failing are at least this.
const MIN_REPORTED_LOG_ODDS: f64 = 3.0;
/// This balancer's own calls contradict a report against a domain if their log odds of the domain
/// failing are at most this.
const CONTRADICTING_LOG_ODDS: f64 = -4.0;
/// The assessment of a domain contradicts a report against it if the strength of the evidence that
/// the domain is healthy is at least this.
const CONTRADICTING_HEALTH: f64 = 0.5;
/// The minimum age of a report to be checked, in nanoseconds. By then, other members have had the
/// time to report the same.
const MIN_REPORT_AGE_NS: Time = 1_000_000_000;
/// The age from which on a report is not current any more and is not checked, in nanoseconds.
const MAX_REPORT_AGE_NS: Time = 3_000_000_000;
/// The number of contradicting reports of a member at which operators are notified.
const MIN_CONTRADICTIONS: u32 = 3;

/// The contradicting reports of one member.
#[derive(Clone, Copy, Debug, Default)]
struct ContradictingReports {
    count: u32,
    /// The time of the newest contradicting report, in nanoseconds.
    newest_reported_at: Time,
}

/// The contradicting reports of all members.
#[derive(Clone, Debug, Default)]
pub(super) struct Contradictions {
    by_owner: BTreeMap<String, ContradictingReports>,
}

impl Contradictions {
    /// Removes the counts of members that are not present any more.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.by_owner.retain(|owner, _| is_present(owner));
    }

    /// Returns the members that have made several contradicting reports, with the number of these
    /// reports.
    pub fn persistent(&self) -> BTreeMap<String, u32> {
        let persistent = self
            .by_owner
            .iter()
            .filter(|(_, reports)| reports.count >= MIN_CONTRADICTIONS);
        persistent
            .map(|(owner, reports)| (owner.clone(), reports.count))
            .collect()
    }

    /// Counts a contradicting report once, and returns whether it is the one at which operators are
    /// to be notified.
    fn record(&mut self, owner: &str, reported_at: Time) -> bool {
        let known = self.by_owner.get(owner).copied().unwrap_or_default();
        if known.newest_reported_at >= reported_at {
            return false;
        }
        let count = known.count + 1;
        self.by_owner.insert(
            owner.to_owned(),
            ContradictingReports {
                count,
                newest_reported_at: reported_at,
            },
        );
        count == MIN_CONTRADICTIONS
    }
}

impl Coordinator {
    /// Finds members of this balancer's zone that report a zone as failing although the other
    /// evidence seen from here shows that zone to be healthy.
    pub(super) fn find_contradictions(&mut self, now: Time) {
        let own_zone = self.settings.topology.zone_name(self.settings.zone);
        for (position, zone) in self.settings.topology.zones.iter().enumerate() {
            let own_log_odds = Symptom::Failing.log_odds(&self.stats.zone(position, now), 0.0);
            let assessment = self.engine.assessment(&zone.subject);
            let is_healthy = assessment
                .is_some_and(|assessment| assessment.health >= CONTRADICTING_HEALTH)
                || own_log_odds <= CONTRADICTING_LOG_ODDS;
            for report in self.reports.reports_on(&zone.subject) {
                let is_current = now >= report.reported_at.saturating_add(MIN_REPORT_AGE_NS)
                    && now < report.reported_at.saturating_add(MAX_REPORT_AGE_NS);
                let is_against =
                    Symptom::Failing.log_odds(report.counts, 0.0) >= MIN_REPORTED_LOG_ODDS;
                if is_current
                    && is_against
                    && is_healthy
                    && own_zone == report.zone
                    && self.contradictions.record(report.owner, report.reported_at)
                {
                    let text = format!(
                        "{} says again and again that zone {} fails, which nobody else finds",
                        report.owner, zone.name
                    );
                    self.pending_lines.push(LogLine(text));
                }
            }
        }
    }
}
