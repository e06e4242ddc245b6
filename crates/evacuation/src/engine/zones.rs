//! Zones that fail, where the failures are not of one class alone.

use super::alternatives::MIN_KNOWN_CALLS;
use super::{EngineInput, EvacuationEngine};
use woadstall_decisions::api::Time;
use woadstall_health_reports::{CallCounts, Subject};

/// The failed calls of all other classes together over those of the worst one, up to which the
/// class fails and not the zone.
const SINGLE_CLASS_FRACTION: f64 = 0.15;

impl EvacuationEngine {
    pub(super) fn step_zones(&mut self, now: Time, input: &EngineInput<'_>) {
        let subjects: Vec<Subject> = input
            .topology
            .zones
            .iter()
            .map(|zone| zone.subject)
            .collect();
        let own: Vec<CallCounts> = (0..input.zone_count())
            .map(|zone| input.stats.zone(zone, now))
            .collect();
        let assessments = self.assess_zones(now, input, &subjects, &own);
        for (zone, assessment) in assessments.iter().enumerate() {
            let others = input.other_zones_in_service(zone);
            let mut alternatives = self.alternatives(zone, &others, &subjects, &assessments);
            alternatives.has_better &=
                !assessment.is_unhealthy || !fails_in_single_class(now, input, zone);
            self.advance(now, subjects[zone], assessment, &alternatives);
        }
    }
}

/// Whether a zone's calls fail in one class alone: that class is evacuated then, and the rest of
/// the zone stays in use.
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
    let Some(worst) = counts.pop() else {
        return false;
    };
    let rest = counts
        .iter()
        .fold(CallCounts::default(), |total, counts| total.merged(counts));
    rest.attempts >= MIN_KNOWN_CALLS && rest.failed < SINGLE_CLASS_FRACTION * worst.failed
}
