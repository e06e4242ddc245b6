//! Which counts are worth a health report: what speaks against a domain, and what others need to
//! compare it with.

use super::Coordinator;
use std::collections::BTreeSet;
use woadstall_decisions::api::Time;
use woadstall_health_reports::{
    CallCounts, EvidenceThreshold, Subject, SubjectKind, SubjectStats, Symptom, UNHEALTHY_LOG_ODDS,
};

/// The least time between two health reports, in nanoseconds.
const REPORT_INTERVAL_NS: Time = 200_000_000;
/// The time after which counts that have hardly changed are reported again, in nanoseconds.
const REPEAT_INTERVAL_NS: Time = 2_000_000_000;
/// The least attempts that are reported.
const MIN_ATTEMPTS: f64 = 0.25;
/// The least attempts of a class that is reported to complete the report on its zone.
const MIN_CLASS_ATTEMPTS: f64 = 1.0;
/// The log odds from which on a subject is reported: one failure, or two slow answers.
const MIN_LOG_ODDS: f64 = 3.0;
/// The change of log odds that is reported: one more failure.
const MIN_CHANGE: f64 = 2.5;
/// The same for a domain that is not in full use: one success.
const MIN_TRIAL_CHANGE: f64 = 0.5;
/// The strength of the evidence against a domain from which on members that find it healthy report
/// so.
const DISPUTED_STRENGTH: f64 = 0.2;
/// The calls known of a domain from which on nobody else needs to report that it is healthy for a
/// comparison.
const COMPARABLE_CALLS: f64 = 10.0;
/// The strength of the evidence on either side from which on more of it is not needed.
const DECIDED_STRENGTH: f64 = 1.5;

/// Counts that may be reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportCandidate {
    pub subject: Subject,
    pub counts: CallCounts,
    /// The log odds of the subject being unhealthy.
    pub log_odds: f64,
}

impl ReportCandidate {
    fn new(stats: &SubjectStats) -> Self {
        let failing = Symptom::Failing.log_odds(&stats.counts, 0.0);
        let slow = Symptom::Slow.log_odds(&stats.counts, 0.0);
        let log_odds = if slow.max(failing) > 0.0 {
            slow.max(failing)
        } else {
            failing
        };
        Self {
            subject: stats.subject,
            counts: stats.counts,
            log_odds,
        }
    }

    fn is_against(&self) -> bool {
        self.log_odds >= MIN_LOG_ODDS
    }
}

impl Coordinator {
    /// The counts to report now, the most important first; nothing where it is too early or there
    /// is no news.
    pub(super) fn select_report(
        &self,
        now: Time,
        own_zone_members: usize,
    ) -> Option<Vec<ReportCandidate>> {
        if now
            < self
                .published
                .reported_at
                .saturating_add(REPORT_INTERVAL_NS)
        {
            return None;
        }
        let mut candidates = self.relevant_counts(now);
        self.remove_servers_of_failing_zones(&mut candidates);
        self.add_missing_classes(now, &mut candidates);
        if !self.has_update(now, &candidates, own_zone_members) {
            return None;
        }
        sort_by_importance(&mut candidates);
        Some(candidates)
    }

    /// What speaks against a subject, and what speaks for one that is disputed.
    fn relevant_counts(&self, now: Time) -> Vec<ReportCandidate> {
        let stats = self
            .stats
            .all(now)
            .filter(|stats| stats.counts.attempts >= MIN_ATTEMPTS);
        let is_relevant = |stats: &SubjectStats, candidate: &ReportCandidate| {
            let is_healthy = candidate.log_odds < -self.min_change(&stats.subject);
            candidate.is_against()
                || stats.is_answered_recently && is_healthy && self.is_disputed(now, &stats.subject)
        };
        stats
            .map(|stats| (stats, ReportCandidate::new(&stats)))
            .filter(|(stats, candidate)| is_relevant(stats, candidate))
            .map(|(_, candidate)| candidate)
            .collect()
    }

    /// Where a zone is unhealthy, its servers are left out: they add nothing, and short reports are
    /// spread sooner.
    fn remove_servers_of_failing_zones(&self, candidates: &mut Vec<ReportCandidate>) {
        let is_failing = |zone: usize| {
            let subject = self.settings.topology.zones[zone].subject;
            candidates
                .iter()
                .any(|candidate| candidate.subject == subject && candidate.is_against())
        };
        let failing: Vec<bool> = (0..self.settings.topology.zones.len())
            .map(is_failing)
            .collect();
        let of_failing = self.servers.values().filter(|server| failing[server.zone]);
        let redundant: BTreeSet<Subject> = of_failing.map(|server| server.subject).collect();
        candidates.retain(|candidate| {
            candidate.subject.kind != SubjectKind::Server || !redundant.contains(&candidate.subject)
        });
    }

    /// Where a zone is suspect, all its classes are reported: the others show whether it fails in
    /// one class only.
    fn add_missing_classes(&self, now: Time, candidates: &mut Vec<ReportCandidate>) {
        for zone in &self.settings.topology.zones {
            let is_suspect = candidates
                .iter()
                .any(|candidate| candidate.subject == zone.subject && candidate.log_odds > 0.0);
            if !is_suspect {
                continue;
            }
            let is_missing =
                |subject: &Subject| candidates.iter().all(|known| known.subject != *subject);
            let missing = self.stats.all(now).filter(|stats| {
                stats.counts.attempts >= MIN_CLASS_ATTEMPTS
                    && zone.classes.contains(&stats.subject)
                    && is_missing(&stats.subject)
            });
            let missing: Vec<ReportCandidate> =
                missing.map(|stats| ReportCandidate::new(&stats)).collect();
            candidates.extend(missing);
        }
    }

    /// Whether any of the counts has changed so much since it was reported that it matters to
    /// others.
    fn has_update(
        &self,
        now: Time,
        candidates: &[ReportCandidate],
        own_zone_members: usize,
    ) -> bool {
        let threshold = EvidenceThreshold::among(UNHEALTHY_LOG_ODDS, own_zone_members);
        // Evidence beyond what others count of one reporter is no news.
        let limited =
            |log_odds: f64| log_odds.clamp(-threshold.max_per_reporter, threshold.max_per_reporter);
        let is_repeat_due = now
            >= self
                .published
                .reported_at
                .saturating_add(REPEAT_INTERVAL_NS);
        candidates.iter().any(|candidate| {
            let published = self
                .published
                .log_odds
                .get(&candidate.subject)
                .copied()
                .unwrap_or(0.0);
            let change = (limited(candidate.log_odds) - limited(published)).abs();
            let is_update = change >= self.min_change(&candidate.subject)
                || is_repeat_due && candidate.log_odds.abs() >= MIN_CHANGE;
            is_update && !self.is_decided(candidate)
        })
    }

    /// Whether all members have enough evidence already, so that no more reporters are needed.
    fn is_decided(&self, candidate: &ReportCandidate) -> bool {
        self.engine
            .assessment(&candidate.subject)
            .is_some_and(|assessment| {
                let strength = if candidate.log_odds > 0.0 {
                    assessment.strength
                } else {
                    assessment.health
                };
                strength > DECIDED_STRENGTH
            })
    }

    /// The change of a subject's log odds that is reported.
    fn min_change(&self, subject: &Subject) -> f64 {
        if self.engine.state(subject).share < 1.0 {
            MIN_TRIAL_CHANGE
        } else {
            MIN_CHANGE
        }
    }

    /// Whether a domain is disputed: there is more evidence against it than one report, it is not
    /// in full use, or another domain is, and it is not known yet whether this one is better.
    fn is_disputed(&self, now: Time, subject: &Subject) -> bool {
        let is_suspect = |subject: &Subject| {
            let assessment = self.engine.assessment(subject);
            assessment.is_some_and(|assessment| assessment.strength >= DISPUTED_STRENGTH)
                || self.engine.state(subject).share < 1.0
        };
        if is_suspect(subject) {
            return true;
        }
        let is_known = self.reports.total(now, subject).attempts >= COMPARABLE_CALLS;
        !is_known && self.peers_of(subject).iter().any(is_suspect)
    }

    /// The subjects of the same kind in all zones.
    fn peers_of(&self, subject: &Subject) -> Vec<Subject> {
        let zones = self.settings.topology.zones.iter();
        match subject.kind {
            SubjectKind::Zone => zones.map(|zone| zone.subject).collect(),
            SubjectKind::Class => match self.settings.topology.class_position(subject) {
                Some(class) => zones.map(|zone| zone.classes[class]).collect(),
                None => Vec::new(),
            },
            SubjectKind::Server | SubjectKind::Region => Vec::new(),
        }
    }
}

/// Sorts zones before classes before servers; in each, what speaks against a subject first, the
/// strongest evidence first.
fn sort_by_importance(candidates: &mut [ReportCandidate]) {
    let rank = |candidate: &ReportCandidate| match candidate.subject.kind {
        SubjectKind::Zone | SubjectKind::Region => 0,
        SubjectKind::Class => 1,
        SubjectKind::Server => 2,
    };
    candidates.sort_by(|a, b| {
        let group = |candidate: &ReportCandidate| (rank(candidate), candidate.log_odds <= 0.0);
        let by_strength = b.log_odds.abs().total_cmp(&a.log_odds.abs());
        group(a)
            .cmp(&group(b))
            .then(by_strength)
            .then(a.subject.cmp(&b.subject))
    });
}
