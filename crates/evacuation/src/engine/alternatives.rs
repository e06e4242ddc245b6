//! Comparison of a domain in one zone with its counterparts in the other zones.

use super::{EngineInput, EvacuationEngine};
use crate::domain_state::Alternatives;
use woadstall_decisions::api::Time;
use woadstall_health_reports::{Assessment, CallCounts, Subject, Symptom, UNHEALTHY_LOG_ODDS};

/// A domain is better than another if the upper bound of its rate of failed (or degraded) calls is
/// below this fraction of the other domain's mean rate.
pub(super) const BETTER_FRACTION: f64 = 0.6;
/// The minimum number of observed calls for a domain to be considered better than another.
pub(super) const MIN_KNOWN_CALLS: f64 = 8.0;
/// The other domains have capacity for more work if their rate of failed or slow calls is below
/// this.
const MAX_RATE_WITH_CAPACITY: f64 = 0.2;

impl EvacuationEngine {
    /// Assesses the subject of each zone against a baseline from the subjects of the other zones.
    /// `subjects` and `own_counts` are indexed by zone.
    pub(super) fn assess_zones(
        &self,
        now: Time,
        input: &EngineInput<'_>,
        subjects: &[Subject],
        own_counts: &[CallCounts],
    ) -> Vec<Assessment> {
        // An evacuated domain must not count towards the baseline. Otherwise a second failing zone
        // would look hardly worse than the first, evacuated one.
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
                .map(|other| (subjects[other], &own_counts[other]));
            let baseline = input.reports.baseline(now, compared);
            input.assess(
                now,
                subjects[zone],
                zone,
                &own_counts[zone],
                baseline,
                UNHEALTHY_LOG_ODDS,
            )
        };
        (0..subjects.len()).map(assess).collect()
    }

    /// Summarizes the alternatives to the subject of `zone` among the subjects of the zones
    /// `others`. `subjects` and `assessments` are indexed by zone.
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

/// Returns whether a domain is better than another even at the upper bound of its own rate, since
/// among few calls none may have failed by chance.
///
/// A domain without enough observed calls is not considered better: when a dependency of all zones
/// fails, one zone shows the failures first.
fn is_better(candidate: &Assessment, other: &Assessment) -> bool {
    if candidate.counts.attempts < MIN_KNOWN_CALLS {
        return false;
    }
    match other.symptom {
        // A domain with slow responses is still better than one where calls fail.
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
