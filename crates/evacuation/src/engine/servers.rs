//! Servers that fail, where their zone as a whole does not.

use super::alternatives::BETTER_FRACTION;
use super::{EngineInput, EvacuationEngine};
use crate::domain_state::Alternatives;
use woadstall_decisions::api::Time;
use woadstall_health_reports::{
    Assessment, Baseline, CallCounts, SERVER_UNHEALTHY_LOG_ODDS, ServerStats, Subject, SubjectKind,
    Symptom,
};

/// The fraction of a zone's size that may be evacuated server by server; beyond that it is the zone
/// that fails.
const MAX_EVACUATED_FRACTION: f64 = 1.0 / 3.0;
/// The own failed or slow calls of a server from which on it is assessed.
const MIN_OWN_EVIDENCE: f64 = 0.5;

/// A server to be assessed.
struct Candidate {
    subject: Subject,
    zone: usize,
    own: CallCounts,
    size: f64,
}

/// The servers of the zones in full use.
struct ServersInUse {
    subjects: Vec<Subject>,
    /// Those with any evidence against them, in an order that is the same at all members.
    candidates: Vec<Candidate>,
    /// How much of each zone's size is evacuated server by server.
    evacuated_sizes: Vec<f64>,
}

impl EvacuationEngine {
    pub(super) fn step_servers(&mut self, now: Time, input: &EngineInput<'_>) {
        let ServersInUse {
            mut subjects,
            candidates,
            mut evacuated_sizes,
        } = self.servers_in_use(now, input);
        for candidate in candidates {
            let evacuated_size = &mut evacuated_sizes[candidate.zone];
            let former_share = self.state(&candidate.subject).share;
            self.step_server(now, input, &candidate, *evacuated_size);
            let share = self.state(&candidate.subject).share;
            *evacuated_size += candidate.size * (former_share - share).max(0.0);
        }
        subjects.sort();
        let is_known = |subject: &Subject| {
            subject.kind != SubjectKind::Server || subjects.binary_search(subject).is_ok()
        };
        self.states.retain(|subject, _| is_known(subject));
        self.assessments.retain(|subject, _| is_known(subject));
    }

    /// The servers of a zone that is not in full use are no better or worse than the rest of it,
    /// and are left out.
    fn servers_in_use(&self, now: Time, input: &EngineInput<'_>) -> ServersInUse {
        let mut evacuated_sizes = vec![0.0; input.zone_count()];
        let (mut subjects, mut candidates) = (Vec::new(), Vec::new());
        for ServerStats {
            server,
            subject,
            zone,
            counts,
        } in input.stats.servers(now)
        {
            let Some(size) = input.server_sizes.get(&server).copied() else {
                continue;
            };
            let of_zone = input.topology.zones.get(zone);
            if !of_zone.is_some_and(|zone| self.is_in_full_use(&zone.subject)) {
                continue;
            }
            subjects.push(subject);
            let state = self.states.get(&subject);
            if let Some(state) = state {
                evacuated_sizes[zone] += size * (1.0 - state.share);
            }
            let has_evidence = state.is_some()
                || counts.failed + counts.slow >= MIN_OWN_EVIDENCE
                || input.reports.has_evidence_against(&subject, now);
            if has_evidence {
                candidates.push(Candidate {
                    subject,
                    zone,
                    own: counts,
                    size,
                });
            }
        }
        // The same order at all members, so that they evacuate the same servers where not all may
        // be.
        candidates.sort_by_key(|candidate| candidate.subject);
        ServersInUse {
            subjects,
            candidates,
            evacuated_sizes,
        }
    }

    fn step_server(
        &mut self,
        now: Time,
        input: &EngineInput<'_>,
        candidate: &Candidate,
        evacuated_size: f64,
    ) {
        let Candidate {
            subject,
            zone,
            own,
            size,
        } = candidate;
        let zone_subject = input.topology.zones[*zone].subject;
        let zone_counts = input.stats.zone(*zone, now);
        let baseline = input
            .reports
            .baseline(now, std::iter::once((zone_subject, &zone_counts)));
        let assessment = input.assess(
            now,
            *subject,
            *zone,
            own,
            baseline,
            SERVER_UNHEALTHY_LOG_ODDS,
        );
        let is_within_limit =
            evacuated_size + size <= input.zone_sizes[*zone] * MAX_EVACUATED_FRACTION;
        let alternatives = Alternatives {
            has_better: is_baseline_better(&baseline, &assessment),
            has_capacity: true,
            is_last: !is_within_limit && self.is_in_full_use(subject),
        };
        self.advance(now, *subject, &assessment, &alternatives);
    }
}

fn is_baseline_better(baseline: &Baseline, assessment: &Assessment) -> bool {
    match assessment.symptom {
        Symptom::Failing => {
            baseline.failure_rate < assessment.counts.failure_rate().mean * BETTER_FRACTION
        }
        Symptom::Slow => {
            baseline.degraded_rate < assessment.counts.degraded_rate().mean * BETTER_FRACTION
        }
    }
}
