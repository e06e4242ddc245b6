//! The rule for zones that fail in more than a single class of calls.

use super::alternatives::MIN_KNOWN_CALLS;
use super::{EngineInput, EvacuationEngine};
use woadstall_decisions::api::Time;
use woadstall_health_reports::{CallCounts, Subject};

/// A zone fails in a single class if the failed calls of all other classes together are below this
/// fraction of the failed calls of the worst class.
const SINGLE_CLASS_FRACTION: f64 = 0.15;

impl EvacuationEngine {
    /// Assesses all zones and advances their states.
    pub(super) fn step_zones(&mut self, now: Time, input: &EngineInput<'_>) {
        let subjects: Vec<Subject> = input
            .topology
            .zones
            .iter()
            .map(|zone| zone.subject)
            .collect();
        let own_counts: Vec<CallCounts> = (0..input.zone_count())
            .map(|zone| input.stats.zone(zone, now))
            .collect();
        let assessments = self.assess_zones(now, input, &subjects, &own_counts);
        for (zone, assessment) in assessments.iter().enumerate() {
            let others = input.other_zones_in_service(zone);
            let mut alternatives = self.alternatives(zone, &others, &subjects, &assessments);
            alternatives.has_better &=
                !assessment.is_unhealthy || !fails_in_single_class(now, input, zone);
            self.advance(now, subjects[zone], assessment, &alternatives);
        }
    }
}

/// Returns whether a zone's calls fail in a single class only. In that case the class is evacuated
/// at the zone and the rest of the zone stays in use.
fn fails_in_single_class(now: Time, input: &EngineInput<'_>, zone: usize) -> bool {
    let classes = input.topology.zones[zone].classes.iter().enumerate();
    let counts = classes.map(|(class, subject)| {
        input
            .stats
            .class(zone, class, now)
            .merged(&input.reports.total(now, subject))
    });
    let mut counts: Vec<CallCounts> = counts.collect();
    counts.sort_by(|a, b| a.failed.total_cmp(&b.failed));
    let Some(worst_class) = counts.pop() else {
        return false;
    };
    let other_classes = counts
        .iter()
        .fold(CallCounts::default(), |total, counts| total.merged(counts));
    other_classes.attempts >= MIN_KNOWN_CALLS
        && other_classes.failed < SINGLE_CLASS_FRACTION * worst_class.failed
}
