//! Assessments of the same kind of domain in all zones, beside each other.

use super::{EngineInput, EvacuationEngine};
use crate::domain_state::Alternatives;
use woadstall_decisions::api::Time;
use woadstall_health_reports::{Assessment, CallCounts, Subject, Symptom, UNHEALTHY_LOG_ODDS};

/// A domain is better than another where at worst this fraction of the other's rate of calls fails
/// there.
pub(super) const BETTER_FRACTION: f64 = 0.6;
/// The calls that must be known of a domain for it to be better.
pub(super) const MIN_KNOWN_CALLS: f64 = 8.0;
/// The rate of failed or slow calls up to which the other domains have capacity for more work.
const MAX_RATE_WITH_CAPACITY: f64 = 0.2;

impl EvacuationEngine {
    /// Assesses one subject in each zone, beside what is usual in the others.
    pub(super) fn assess_zones(
        &self,
        now: Time,
        input: &EngineInput<'_>,
        subjects: &[Subject],
        own: &[CallCounts],
    ) -> Vec<Assessment> {
        // What is evacuated already says nothing of what is usual: a second zone that fails would
        // look hardly worse.
        let is_in_use = |zone: &usize| {
            self.is_in_full_use(&subjects[*zone])
                && self.is_in_full_use(&input.topology.zones[*zone].subject)
        };
        let assess = |zone: usize| {
            let others: Vec<usize> = (0..subjects.len()).filter(|other| *other != zone).collect();
            let in_use: Vec<usize> = others.iter().copied().filter(is_in_use).collect();
            let compared = if in_use.is_empty() { others } else { in_use };
            let compared = compared
                .into_iter()
                .map(|other| (subjects[other], &own[other]));
            let baseline = input.reports.baseline(now, compared);
            input.assess(
                now,
                subjects[zone],
                zone,
                &own[zone],
                baseline,
                UNHEALTHY_LOG_ODDS,
            )
        };
        (0..subjects.len()).map(assess).collect()
    }

    /// The alternatives to the subject of one zone among those of `others`.
    pub(super) fn alternatives(
        &self,
        zone: usize,
        others: &[usize],
        subjects: &[Subject],
        assessments: &[Assessment],
    ) -> Alternatives {
        let in_use: Vec<usize> = others
            .iter()
            .copied()
            .filter(|other| self.is_in_full_use(&subjects[*other]))
            .collect();
        let add = |total: CallCounts, other: &usize| total.merged(&assessments[*other].counts);
        let total = in_use.iter().fold(CallCounts::default(), add);
        Alternatives {
            has_better: in_use
                .iter()
                .any(|other| is_better(&assessments[*other], &assessments[zone])),
            has_capacity: total.attempts < 1.0
                || total.degraded_rate().mean < MAX_RATE_WITH_CAPACITY,
            is_last: in_use.is_empty(),
        }
    }
}

/// Whether a domain is better than another, at worst: of few calls, none may have failed by chance.
/// It has to be observed to be: what all zones depend on fails in one of them first.
fn is_better(candidate: &Assessment, other: &Assessment) -> bool {
    if candidate.counts.attempts < MIN_KNOWN_CALLS {
        return false;
    }
    match other.symptom {
        // Where calls fail, a domain whose answers are slow is better all the same.
        Symptom::Failing => {
            candidate.counts.failure_rate().high
                < other.counts.failure_rate().mean * BETTER_FRACTION
        }
        Symptom::Slow => {
            let limit = other.counts.degraded_rate().mean * BETTER_FRACTION;
            !candidate.is_unhealthy && candidate.counts.degraded_rate().high < limit
        }
    }
}
