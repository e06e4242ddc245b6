//! Members that report the opposite of what is observed: they may be faulty.

use super::{Coordinator, LogLine};
use std::collections::BTreeMap;
use woadstall_decisions::api::Time;
use woadstall_health_reports::Symptom;

/// The log odds of a report from which on it speaks against a domain.
const MIN_REPORTED_LOG_ODDS: f64 = 3.0;
/// The log odds of the own calls at or below which they contradict that.
const CONTRADICTING_LOG_ODDS: f64 = -4.0;
/// The strength of the evidence that a domain is healthy from which on it contradicts a report.
const CONTRADICTING_HEALTH: f64 = 0.5;
/// The age of a report at which others have had the time to report the same, and until which it is
/// current, in nanoseconds.
const MIN_REPORT_AGE_NS: Time = 1_000_000_000;
const MAX_REPORT_AGE_NS: Time = 3_000_000_000;
/// The contradicting reports of a member from which on operators are told.
const MIN_CONTRADICTIONS: u32 = 3;

/// The contradicting reports of one member.
#[derive(Clone, Copy, Debug, Default)]
struct Contradicting {
    count: u32,
    /// When the newest of them was made.
    reported_at: Time,
}

/// The contradicting reports of all members.
#[derive(Clone, Debug, Default)]
pub(super) struct Contradictions {
    by_owner: BTreeMap<String, Contradicting>,
}

impl Contradictions {
    /// Removes the members that are not present any more.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.by_owner.retain(|owner, _| is_present(owner));
    }

    /// The members that have made contradicting reports again and again, and how many.
    pub fn persistent(&self) -> BTreeMap<String, u32> {
        let persistent = self
            .by_owner
            .iter()
            .filter(|(_, of)| of.count >= MIN_CONTRADICTIONS);
        persistent
            .map(|(owner, of)| (owner.clone(), of.count))
            .collect()
    }

    /// Counts a contradicting report, once, and returns whether operators are to be told.
    fn record(&mut self, owner: &str, reported_at: Time) -> bool {
        let known = self.by_owner.get(owner).copied().unwrap_or_default();
        if known.reported_at >= reported_at {
            return false;
        }
        let count = known.count + 1;
        self.by_owner
            .insert(owner.to_owned(), Contradicting { count, reported_at });
        count == MIN_CONTRADICTIONS
    }
}

impl Coordinator {
    /// Finds the members of this zone that report a zone as failing which is observed to be healthy
    /// from here.
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
