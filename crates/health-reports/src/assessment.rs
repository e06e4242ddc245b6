//! The assessment of a subject from all members' reports, as seen from one zone.

use crate::baseline::Baseline;
use crate::call_counts::CallCounts;
use crate::log_odds::{
    EvidenceSum, EvidenceThreshold, Reporters, Symptom, WeightedReport, max_faulty,
};
use crate::report_table::{MIN_EVIDENCE, ReportTable};
use crate::subject::Subject;
use std::collections::BTreeMap;
use woadstall_decisions::api::Time;

/// The time constant of the decay of evidence that a subject is healthy, in nanoseconds.
const HEALTHY_EVIDENCE_DECAY_NS: f64 = 7e8;
/// The zones that must agree before the evidence of zones that are neither the subject's nor the
/// observer's counts.
const MIN_AGREEING_ZONES: usize = 2;

/// Which subject is assessed, and from where.
#[derive(Clone, Copy, Debug)]
pub struct AssessmentQuery<'a> {
    /// The subject.
    pub subject: Subject,
    /// The zone that the subject is, or lies in.
    pub home_zone: &'a str,
    /// The zone of the observer.
    pub observer_zone: &'a str,
    /// The counts of this balancer's own calls there.
    pub own: &'a CallCounts,
    /// The usual rates elsewhere.
    pub baseline: Baseline,
    /// The log odds that are enough: [`crate::UNHEALTHY_LOG_ODDS`] or
    /// [`crate::SERVER_UNHEALTHY_LOG_ODDS`].
    pub needed_log_odds: f64,
    /// The number of members of each zone, this balancer included.
    pub members: &'a BTreeMap<String, usize>,
}

/// What the evidence on a subject amounts to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    /// The symptom with the strongest evidence.
    pub symptom: Symptom,
    /// Whether the subject counts as unhealthy in the observer's zone.
    pub is_unhealthy: bool,
    /// The strength of the evidence against it; 1 is enough.
    pub strength: f64,
    /// The strength of the evidence that it is healthy; 1 is enough.
    pub health: f64,
    /// All counts together.
    pub counts: CallCounts,
    /// The reporters on either side.
    pub reporters: Reporters,
    /// The zones whose reporters speak against it by themselves.
    pub zones: usize,
}

/// The weighed reports on a subject, by the zone of the member.
type ReportsByZone<'a> = BTreeMap<&'a str, Vec<WeightedReport>>;

/// The evidence of the zones on a subject.
struct ZoneEvidence {
    observer: EvidenceSum,
    home: EvidenceSum,
    others: Vec<EvidenceSum>,
    needed: f64,
    is_remote: bool,
}

impl ReportTable {
    /// Assesses a subject.
    pub fn assess(&self, now: Time, query: &AssessmentQuery<'_>) -> Assessment {
        let failing = self.assess_symptom(now, query, Symptom::Failing);
        let slow = self.assess_symptom(now, query, Symptom::Slow);
        let worst = if slow.strength > failing.strength {
            slow
        } else {
            failing
        };
        let is_unhealthy = failing.is_unhealthy || slow.is_unhealthy;
        Assessment {
            health: failing.health,
            is_unhealthy,
            ..worst
        }
    }

    fn assess_symptom(
        &self,
        now: Time,
        query: &AssessmentQuery<'_>,
        symptom: Symptom,
    ) -> Assessment {
        let baseline = query.baseline.rate(symptom);
        let mut by_zone = ReportsByZone::new();
        let mut counts = query.own.decayed_to(now);
        for report in self.reports_on(&query.subject) {
            let reported = report.counts.decayed_to(now);
            if reported.attempts < MIN_EVIDENCE {
                continue;
            }
            counts = counts.merged(&reported);
            // What was healthy a second ago may hang since: a member that finds it healthy reports
            // so again.
            let age = now.saturating_sub(report.reported_at) as f64;
            let freshness = (-age / HEALTHY_EVIDENCE_DECAY_NS).exp();
            let log_odds = symptom.log_odds(&reported, baseline);
            by_zone
                .entry(report.zone)
                .or_default()
                .push(WeightedReport {
                    log_odds,
                    freshness,
                });
        }
        let own = symptom.log_odds(&query.own.decayed_to(now), baseline);
        let evidence = ZoneEvidence::collect(query, &by_zone, own);
        evidence.assess(symptom, counts)
    }
}

impl ZoneEvidence {
    fn collect(query: &AssessmentQuery<'_>, by_zone: &ReportsByZone<'_>, own: f64) -> Self {
        // Own calls that hang show by themselves, and late: the own evidence that a subject is
        // healthy weighs no more than any other member's.
        let of_zone = |zone: &str| {
            let others = by_zone.get(zone).cloned().unwrap_or_default();
            let size = query
                .members
                .get(zone)
                .copied()
                .unwrap_or(1)
                .max(others.len());
            let own = if zone == query.observer_zone {
                own
            } else {
                0.0
            };
            let threshold = EvidenceThreshold::among(query.needed_log_odds, size);
            EvidenceSum::new(others, own, threshold.max_per_reporter, max_faulty(size))
        };
        let is_other = |zone: &&&str| **zone != query.observer_zone && **zone != query.home_zone;
        Self {
            observer: of_zone(query.observer_zone),
            home: of_zone(query.home_zone),
            others: by_zone
                .keys()
                .filter(is_other)
                .map(|zone| of_zone(zone))
                .collect(),
            needed: query.needed_log_odds,
            is_remote: query.observer_zone != query.home_zone,
        }
    }

    fn assess(&self, symptom: Symptom, counts: CallCounts) -> Assessment {
        let unhealthy = self.observer.unhealthy.max(self.reported_unhealthy());
        let healthy = if self.is_remote {
            self.observer.healthy.max(self.home.healthy)
        } else {
            self.observer.healthy
        };
        let zones = self.all().filter(|sum| self.is_against(sum)).count();
        Assessment {
            symptom,
            is_unhealthy: unhealthy >= self.needed,
            strength: (unhealthy / self.needed).max(0.0),
            health: (healthy / self.needed).max(0.0),
            counts,
            reporters: self.reporters(),
            zones,
        }
    }

    /// Each zone's evidence, once.
    fn all(&self) -> impl Iterator<Item = &EvidenceSum> {
        let home = self.is_remote.then_some(&self.home);
        std::iter::once(&self.observer)
            .chain(home)
            .chain(&self.others)
    }

    /// Whether a zone's reporters speak against the subject by themselves.
    fn is_against(&self, sum: &EvidenceSum) -> bool {
        sum.unhealthy >= self.needed / 2.0
    }

    /// The evidence of other zones against the subject. The members of its own zone know it best,
    /// and what the observer's zone has observed itself goes before all: that others cannot reach
    /// the subject may be their network's fault. A zone that is partitioned from the others still
    /// serves its own.
    fn reported_unhealthy(&self) -> f64 {
        if !self.is_remote || self.observer.healthy > self.needed / 2.0 {
            return 0.0;
        }
        // Two zones that agree independently are more than one that is twice as certain.
        let agreeing = self
            .others
            .iter()
            .filter(|sum| self.is_against(sum))
            .count();
        let elsewhere = if agreeing >= MIN_AGREEING_ZONES {
            self.others
                .iter()
                .map(|sum| sum.unhealthy.max(0.0))
                .sum::<f64>()
        } else {
            0.0
        };
        self.home.unhealthy.max(elsewhere)
    }

    fn reporters(&self) -> Reporters {
        self.all()
            .fold(Reporters::default(), |total, sum| Reporters {
                against: total.against + sum.reporters.against,
                in_favor: total.in_favor + sum.reporters.in_favor,
            })
    }
}
