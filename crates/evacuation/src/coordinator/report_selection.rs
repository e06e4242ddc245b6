//! Selection of the counts for a health report: evidence against a domain, and counts that other
//! members need for a comparison.

use super::Coordinator;
use std::collections::BTreeSet;
use woadstall_decisions::api::Time;
use woadstall_health_reports::{
    CallCounts, EvidenceThreshold, Subject, SubjectKind, SubjectStats, Symptom, UNHEALTHY_LOG_ODDS,
};

/// The minimum time between two health reports, in nanoseconds.
const REPORT_INTERVAL_NS: Time = 200_000_000;
/// The time after which significant counts are reported again even if they have hardly changed, in
/// nanoseconds.
const REPEAT_INTERVAL_NS: Time = 2_000_000_000;
/// The minimum decayed number of attempts for a subject to be reported.
const MIN_ATTEMPTS: f64 = 0.25;
/// The minimum decayed number of attempts for a class to be reported along with its suspect zone.
const MIN_CLASS_ATTEMPTS: f64 = 1.0;
/// A subject is reported if its log odds of being unhealthy are at least this. One failure or two
/// slow responses are enough.
const MIN_LOG_ODDS: f64 = 3.0;
/// The change of log odds that triggers a report. One more failure is enough.
const MIN_LOG_ODDS_CHANGE: f64 = 2.5;
/// The change of log odds that triggers a report on a domain that is not in full use. One success is
/// enough.
const MIN_TRIAL_LOG_ODDS_CHANGE: f64 = 0.5;
/// Members that find a domain healthy report so if the strength of the evidence against the domain
/// is at least this.
const DISPUTED_STRENGTH: f64 = 0.2;
/// If at least this many calls to a domain have been reported, no further member needs to report the
/// domain as healthy for a comparison with an unhealthy one.
const COMPARABLE_CALLS: f64 = 10.0;
/// If the strength of the evidence for or against a domain exceeds this, no more evidence for the
/// same side is needed.
const DECIDED_STRENGTH: f64 = 1.5;

/// The counts of a subject that may be reported.
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

    /// Returns whether the counts are evidence against the subject.
    fn is_against(&self) -> bool {
        self.log_odds >= MIN_LOG_ODDS
    }
}

impl Coordinator {
    /// Returns the counts to report now, the most important first; `None` if it is too early for the
    /// next report or nothing has changed enough.
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

    /// Returns the counts that are evidence against a subject, and recent counts that show a
    /// disputed subject to be healthy.
    fn relevant_counts(&self, now: Time) -> Vec<ReportCandidate> {
        let stats = self
            .stats
            .all_subjects(now)
            .filter(|stats| stats.counts.attempts >= MIN_ATTEMPTS);
        let is_relevant = |stats: &SubjectStats, candidate: &ReportCandidate| {
            let is_healthy = candidate.log_odds < -self.min_log_odds_change(&stats.subject);
            candidate.is_against()
                || stats.is_answered_recently && is_healthy && self.is_disputed(now, &stats.subject)
        };
        stats
            .map(|stats| (stats, ReportCandidate::new(&stats)))
            .filter(|(stats, candidate)| is_relevant(stats, candidate))
            .map(|(_, candidate)| candidate)
            .collect()
    }

    /// Removes the servers of zones with evidence against them. Counts of these servers add nothing
    /// to the counts of the zone, and short reports spread faster.
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
        let servers = self.servers.values().filter(|server| failing[server.zone]);
        let redundant: BTreeSet<Subject> = servers.map(|server| server.subject).collect();
        candidates.retain(|candidate| {
            candidate.subject.kind != SubjectKind::Server || !redundant.contains(&candidate.subject)
        });
    }

    /// Adds all classes of suspect zones. The counts of the healthy classes show whether the zone
    /// fails in a single class only.
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
            let missing = self.stats.all_subjects(now).filter(|stats| {
                stats.counts.attempts >= MIN_CLASS_ATTEMPTS
                    && zone.classes.contains(&stats.subject)
                    && is_missing(&stats.subject)
            });
            let missing: Vec<ReportCandidate> =
                missing.map(|stats| ReportCandidate::new(&stats)).collect();
            candidates.extend(missing);
        }
    }

    /// Returns whether the counts of any candidate have changed enough since the last report to
    /// matter to other members.
    fn has_update(
        &self,
        now: Time,
        candidates: &[ReportCandidate],
        own_zone_members: usize,
    ) -> bool {
        let threshold = EvidenceThreshold::for_reporters(UNHEALTHY_LOG_ODDS, own_zone_members);
        // Other members limit the log odds of each reporter, so changes beyond that limit do not
        // matter to them.
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
            let is_update = change >= self.min_log_odds_change(&candidate.subject)
                || is_repeat_due && candidate.log_odds.abs() >= MIN_LOG_ODDS_CHANGE;
            is_update && !self.is_decided(candidate)
        })
    }

    /// Returns whether the reported evidence is strong enough already, so that no more reporters
    /// are needed.
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

    /// Returns the change of a subject's log odds that triggers a report.
    fn min_log_odds_change(&self, subject: &Subject) -> f64 {
        if self.engine.state(subject).share < 1.0 {
            MIN_TRIAL_LOG_ODDS_CHANGE
        } else {
            MIN_LOG_ODDS_CHANGE
        }
    }

    /// Returns whether a domain is disputed. A domain is disputed if it is suspect, which means that
    /// there is more evidence against it than one report or that it is not in full use. It is also
    /// disputed if its counterpart in another zone is suspect while too few calls have been reported
    /// to tell whether this domain is better.
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

    /// Returns the subject's counterparts in all zones, including the subject itself: all zones, or
    /// the same class at all zones. Servers and regions have none.
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

/// Sorts zones and regions first, then classes, then servers. Within each of these, evidence against
/// a subject comes before evidence for one, and stronger evidence before weaker evidence.
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
