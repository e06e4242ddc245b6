//! The rule for classes of calls that fail at a zone while the zone as a whole does not.

use super::{EngineInput, EvacuationEngine};
use woadstall_decisions::api::Time;
use woadstall_health_reports::{CallCounts, Subject, Symptom};

/// A class is assessed if the decayed count of this balancer's own failed calls at any zone is at
/// least this.
const MIN_OWN_FAILURES: f64 = 0.5;

impl EvacuationEngine {
    /// Assesses each class at all zones and advances the states of the classes.
    pub(super) fn step_classes(&mut self, now: Time, input: &EngineInput<'_>) {
        for class in 0..input.topology.classes.len() {
            self.step_class(now, input, class);
        }
    }

    fn step_class(&mut self, now: Time, input: &EngineInput<'_>, class: usize) {
        let subjects: Vec<Subject> = input
            .topology
            .zones
            .iter()
            .map(|zone| zone.classes[class])
            .collect();
        let own_counts: Vec<CallCounts> = (0..input.zone_count())
            .map(|zone| input.stats.class(zone, class, now))
            .collect();
        let has_evidence = |zone: usize| {
            own_counts[zone].failed >= MIN_OWN_FAILURES
                || input.reports.has_evidence_against(&subjects[zone], now)
                || self.states.contains_key(&subjects[zone])
        };
        if !(0..input.zone_count()).any(has_evidence) {
            return;
        }
        let assessments = self.assess_zones(now, input, &subjects, &own_counts);
        for (zone, assessment) in assessments.iter().enumerate() {
            // A zone that is not in full use is evacuated and restored as a whole, without states
            // of its classes.
            if !self.is_in_full_use(&input.topology.zones[zone].subject) {
                self.states.remove(&subjects[zone]);
                continue;
            }
            let others = input.other_zones_in_service(zone);
            let mut alternatives = self.alternatives(zone, &others, &subjects, &assessments);
            // Slow responses are normal for a class with large calls, so only failures justify
            // draining a class.
            alternatives.has_better &= assessment.symptom == Symptom::Failing;
            self.advance(now, subjects[zone], assessment, &alternatives);
        }
    }
}
