//! The rule for servers that fail while their zone as a whole does not.

use super::alternatives::BETTER_FRACTION;
use super::{EngineInput, EvacuationEngine};
use crate::domain_state::Alternatives;
use woadstall_decisions::api::Time;
use woadstall_health_reports::{
    Assessment, Baseline, CallCounts, SERVER_UNHEALTHY_LOG_ODDS, ServerStats, Subject, SubjectKind,
    Symptom,
};

/// The maximum fraction of a zone's size that may be evacuated server by server. If more than that
/// fails, the zone as a whole is failing.
const MAX_EVACUATED_FRACTION: f64 = 1.0 / 3.0;
/// A server is assessed if the decayed count of this balancer's own failed or slow calls to it is
/// at least this.
const MIN_OWN_EVIDENCE: f64 = 0.5;

/// A server to be assessed.
struct Candidate {
    subject: Subject,
    zone: usize,
    own_counts: CallCounts,
    size: f64,
}

/// The servers in service of the zones in full use.
struct ServersInUse {
    subjects: Vec<Subject>,
    /// The servers to be assessed because of evidence against them or a stored state, sorted by
    /// subject so that all members use the same order.
    candidates: Vec<Candidate>,
    /// The size that is evacuated server by server, by position of the zone.
    evacuated_sizes: Vec<f64>,
}

impl EvacuationEngine {
    /// Advances the states of the servers in zones in full use, up to the limit of each zone, and
    /// removes the states and assessments of all other servers.
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

    /// Collects the servers in service of the zones in full use. The servers of other zones are left
    /// out, because they are no better or worse than the rest of their zone.
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
            let server_zone = input.topology.zones.get(zone);
            if !server_zone.is_some_and(|zone| self.is_in_full_use(&zone.subject)) {
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
                    own_counts: counts,
                    size,
                });
            }
        }
        // All members must use the same order, so that they evacuate the same servers if the limit
        // does not allow them to evacuate all.
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
            own_counts,
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
            own_counts,
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

/// Returns whether the zone's mean rate of the assessed symptom is clearly below the server's.
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
