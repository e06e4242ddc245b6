//! The assessment of a subject from the reports of all members, from the view of one zone.

use crate::baseline::Baseline;
use crate::call_counts::CallCounts;
use crate::log_odds::{
    EvidenceSum, EvidenceThreshold, Reporters, Symptom, WeightedReport, max_faulty,
};
use crate::report_table::{MIN_EVIDENCE, ReportTable};
use crate::subject::Subject;
use std::collections::BTreeMap;
use woadstall_decisions::api::Time;

/// The time constant with which evidence that a subject is healthy decays after its report, in
/// nanoseconds.
const HEALTHY_EVIDENCE_DECAY_NS: f64 = 7e8;
/// The minimum number of agreeing zones, other than the subject's and the observer's, for their
/// evidence to count.
const MIN_AGREEING_ZONES: usize = 2;

/// The subject to assess, the observer and the reference values.
#[derive(Clone, Copy, Debug)]
pub struct AssessmentQuery<'a> {
    /// The subject to assess.
    pub subject: Subject,
    /// The zone that the subject is or belongs to.
    pub home_zone: &'a str,
    /// The zone of the balancer that makes the assessment (the observer).
    pub observer_zone: &'a str,
    /// The counts of the observer's own calls to the subject.
    pub own_counts: &'a CallCounts,
    /// The usual rates of failed and slow calls at comparable subjects.
    pub baseline: Baseline,
    /// The log odds at which the subject counts as unhealthy: [`crate::UNHEALTHY_LOG_ODDS`] or
    /// [`crate::SERVER_UNHEALTHY_LOG_ODDS`].
    pub needed_log_odds: f64,
    /// The number of members of each zone, the observer included.
    pub members_per_zone: &'a BTreeMap<String, usize>,
}

/// The result of an assessment of a subject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    /// The symptom with the strongest evidence.
    pub symptom: Symptom,
    /// Whether the subject counts as unhealthy in the observer's zone.
    pub is_unhealthy: bool,
    /// The strength of the evidence that the subject is unhealthy, from 0. It counts as unhealthy
    /// from 1 on.
    pub strength: f64,
    /// The strength of the evidence that the subject does not fail, from 0, on the same scale as
    /// `strength`.
    pub health: f64,
    /// The sum of the counts of all members, decayed to the time of the assessment.
    pub counts: CallCounts,
    /// The number of reporters against and in favor of the subject.
    pub reporters: Reporters,
    /// The number of zones whose reporters alone provide half of the needed evidence against the
    /// subject.
    pub zones: usize,
}

/// The weighted reports on a subject, by the zone of the reporter.
type ReportsByZone<'a> = BTreeMap<&'a str, Vec<WeightedReport>>;

/// The evidence about a subject, by zone.
struct ZoneEvidence {
    /// The evidence from the observer's zone.
    observer: EvidenceSum,
    /// The evidence from the subject's zone.
    home: EvidenceSum,
    /// The evidence from each other zone.
    others: Vec<EvidenceSum>,
    needed_log_odds: f64,
    /// Whether the subject is outside the observer's zone.
    is_remote: bool,
}

impl ReportTable {
    /// Assesses a subject at the time `now` for both symptoms. The subject is unhealthy if it has
    /// either symptom.
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
        let mut counts = query.own_counts.decayed_to(now);
        for report in self.reports_on(&query.subject) {
            let reported = report.counts.decayed_to(now);
            if reported.attempts < MIN_EVIDENCE {
                continue;
            }
            counts = counts.merged(&reported);
            // A subject that was healthy a second ago may have hung since. Members that still find
            // it healthy report so again.
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
        let own_log_odds = symptom.log_odds(&query.own_counts.decayed_to(now), baseline);
        let evidence = ZoneEvidence::collect(query, &by_zone, own_log_odds);
        evidence.assess(symptom, counts)
    }
}

impl ZoneEvidence {
    fn collect(
        query: &AssessmentQuery<'_>,
        by_zone: &ReportsByZone<'_>,
        own_log_odds: f64,
    ) -> Self {
        // The observer's own calls show a hang only after a delay. Its own evidence that a subject
        // is healthy therefore weighs no more than the evidence of any other member.
        let sum_for_zone = |zone: &str| {
            let others = by_zone.get(zone).cloned().unwrap_or_default();
            let size = query
                .members_per_zone
                .get(zone)
                .copied()
                .unwrap_or(1)
                .max(others.len());
            let own_log_odds = if zone == query.observer_zone {
                own_log_odds
            } else {
                0.0
            };
            let threshold = EvidenceThreshold::for_reporters(query.needed_log_odds, size);
            EvidenceSum::new(
                others,
                own_log_odds,
                threshold.max_per_reporter,
                max_faulty(size),
            )
        };
        let is_other = |zone: &&&str| **zone != query.observer_zone && **zone != query.home_zone;
        Self {
            observer: sum_for_zone(query.observer_zone),
            home: sum_for_zone(query.home_zone),
            others: by_zone
                .keys()
                .filter(is_other)
                .map(|zone| sum_for_zone(zone))
                .collect(),
            needed_log_odds: query.needed_log_odds,
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
        let zones = self.zones().filter(|sum| self.is_against(sum)).count();
        Assessment {
            symptom,
            is_unhealthy: unhealthy >= self.needed_log_odds,
            strength: (unhealthy / self.needed_log_odds).max(0.0),
            health: (healthy / self.needed_log_odds).max(0.0),
            counts,
            reporters: self.reporters(),
            zones,
        }
    }

    /// Iterates over the evidence of each zone, without repeating the observer's zone if it is also
    /// the subject's.
    fn zones(&self) -> impl Iterator<Item = &EvidenceSum> {
        let home = self.is_remote.then_some(&self.home);
        std::iter::once(&self.observer)
            .chain(home)
            .chain(&self.others)
    }

    /// Returns whether the reporters of one zone alone provide half of the needed evidence against
    /// the subject.
    fn is_against(&self, sum: &EvidenceSum) -> bool {
        sum.unhealthy >= self.needed_log_odds / 2.0
    }

    /// Returns the evidence against the subject from zones other than the observer's.
    ///
    /// The evidence of the observer's zone that the subject is healthy takes precedence, because
    /// other zones may fail to reach the subject due to their own network. The members of the
    /// subject's own zone have the best view of it, so their evidence counts on its own. For a
    /// subject in the observer's zone, other zones do not count at all: a zone that is partitioned
    /// from the others still serves its own requests.
    fn reported_unhealthy(&self) -> f64 {
        if !self.is_remote || self.observer.healthy > self.needed_log_odds / 2.0 {
            return 0.0;
        }
        // Two zones that agree independently are stronger evidence than a single zone with twice the
        // log odds.
        let agreeing = self
            .others
            .iter()
            .filter(|sum| self.is_against(sum))
            .count();
        let other_zones = if agreeing >= MIN_AGREEING_ZONES {
            self.others
                .iter()
                .map(|sum| sum.unhealthy.max(0.0))
                .sum::<f64>()
        } else {
            0.0
        };
        self.home.unhealthy.max(other_zones)
    }

    fn reporters(&self) -> Reporters {
        self.zones()
            .fold(Reporters::default(), |total, sum| Reporters {
                against: total.against + sum.reporters.against,
                in_favor: total.in_favor + sum.reporters.in_favor,
            })
    }
}
