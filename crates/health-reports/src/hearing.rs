//! What all have told, and what it comes to when it is weighed.

use crate::counts::CallCounts;
use crate::health_report::{HealthReport, HealthReportError};
use crate::subject::Subject;
use crate::weight::{EvidenceSum, Symptom, enough, max_faulty};
use std::collections::BTreeMap;
use woadstall_decisions::api::Time;

/// Counts that have faded to less say nothing.
const LEAST: f64 = 0.1;
/// Time over which the word that something is well fades.
const STALE: f64 = 7e8;
/// Tries elsewhere before what is usual there is known.
const KNOWN: f64 = 5.0;

#[derive(Clone, Debug)]
struct Word {
    zone: String,
    at: Time,
    lines: BTreeMap<Subject, CallCounts>,
}

/// The health reports of all others, the last of each.
#[derive(Clone, Debug, Default)]
pub struct ReportTable {
    words: BTreeMap<String, Word>,
}

/// What is asked of a hearing.
#[derive(Clone, Copy, Debug)]
pub struct AssessmentQuery<'a> {
    /// Of what.
    pub subject: Subject,
    /// The zone that it is, or lies in.
    pub home: &'a str,
    /// The zone from which it is looked at.
    pub from: &'a str,
    /// What this balancer's own calls came to there.
    pub own: &'a CallCounts,
    /// The part of calls that fails elsewhere, and that is late.
    pub usual: [f64; 2],
    /// How strong evidence has to be: [`crate::UNHEALTHY_LOG_ODDS`] or [`crate::SERVER_UNHEALTHY_LOG_ODDS`].
    pub enough: f64,
    /// How many members there are in each zone, this balancer included.
    pub members: &'a BTreeMap<String, usize>,
}

/// What evidence comes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    /// The way in which it is ill, or comes closest to it.
    pub ill: Symptom,
    /// Whether it is, for those of the zone that looks.
    pub is_ill: bool,
    /// How strong the evidence for that is, where 1 is enough.
    pub strength: f64,
    /// How strong the evidence is that it is well, where 1 is enough.
    pub wellness: f64,
    /// All counts together.
    pub counts: CallCounts,
    /// Those who speak against it, and for it.
    pub witnesses: (usize, usize),
    /// Zones whose witnesses speak against it by themselves.
    pub zones: usize,
}

impl ReportTable {
    /// A member of a zone has told something at a time.
    pub fn hear(
        &mut self,
        owner: &str,
        zone: &str,
        at: Time,
        bytes: &[u8],
    ) -> Result<(), HealthReportError> {
        let health_report = HealthReport::read(bytes)?;
        let lines = health_report
            .0
            .iter()
            .map(|line| (line.subject, line.counts(at)))
            .collect();
        self.words.insert(
            owner.to_owned(),
            Word {
                zone: zone.to_owned(),
                at,
                lines,
            },
        );
        Ok(())
    }

    /// Keeps the words of those who are there.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.words.retain(|owner, _| is_there(owner));
    }

    /// Whether anybody speaks against a subject.
    pub fn speaks_against(&self, subject: &Subject, now: Time) -> bool {
        self.words
            .values()
            .filter_map(|word| word.lines.get(subject))
            .any(|said| {
                let said = said.at(now);
                said.failed + said.late >= LEAST * said.tries.max(1.0)
            })
    }

    /// All words on a subject: whose, of which zone, when it was said, and the counts as they were then.
    pub fn words(
        &self,
        subject: &Subject,
    ) -> impl Iterator<Item = (&str, &str, Time, &CallCounts)> {
        self.words.iter().filter_map(move |(owner, word)| {
            Some((
                owner.as_str(),
                word.zone.as_str(),
                word.at,
                word.lines.get(subject)?,
            ))
        })
    }

    /// What one has said of a subject, as it is now.
    pub fn says(&self, owner: &str, subject: &Subject, now: Time) -> Option<CallCounts> {
        self.words
            .get(owner)?
            .lines
            .get(subject)
            .map(|counts| counts.at(now))
    }

    /// The counts of all of some subjects, with the own ones: the part that usually fails, and that is usually late.
    pub fn usual<'a>(
        &self,
        now: Time,
        of: impl Iterator<Item = (Subject, &'a CallCounts)>,
    ) -> [f64; 2] {
        let mut all = CallCounts::default();
        for (subject, own) in of {
            all = all.and(&own.at(now)).and(&self.counts(now, &subject));
        }
        let part = |(_, mean, _): (f64, f64, f64), known: bool| if known { mean } else { 0.0 };
        [
            part(all.failing(), all.tries >= KNOWN),
            part(all.spoilt(), all.tries >= KNOWN),
        ]
    }

    /// The counts of all others together.
    pub fn counts(&self, now: Time, subject: &Subject) -> CallCounts {
        let lines = self
            .words
            .values()
            .filter_map(|word| word.lines.get(subject));
        lines.fold(CallCounts::default(), |all, counts| {
            all.and(&counts.at(now))
        })
    }

    /// Weighs what is known of a subject.
    pub fn opinion(&self, now: Time, asked: &AssessmentQuery<'_>) -> Assessment {
        let failing = self.weigh(now, asked, Symptom::Failing);
        let late = self.weigh(now, asked, Symptom::Late);
        let worst = if late.strength > failing.strength {
            late
        } else {
            failing
        };
        Assessment {
            wellness: failing.wellness,
            is_ill: failing.is_ill || late.is_ill,
            ..worst
        }
    }

    fn weigh(&self, now: Time, asked: &AssessmentQuery<'_>, ill: Symptom) -> Assessment {
        let usual = asked.usual[ill as usize];
        let mut by_zone: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
        let mut counts = asked.own.at(now);
        for word in self.words.values() {
            let Some(said) = word.lines.get(&asked.subject).map(|said| said.at(now)) else {
                continue;
            };
            if said.tries < LEAST {
                continue;
            }
            counts = counts.and(&said);
            // What was well a second ago may hang since: whoever finds it well says so again.
            let fresh = (-(now.saturating_sub(word.at) as f64) / STALE).exp();
            by_zone
                .entry(&word.zone)
                .or_default()
                .push((ill.weigh(&said, usual), fresh));
        }
        // The own calls that hang show by themselves, and late: what speaks for it weighs no more than others' word.
        let own = ill.weigh(&asked.own.at(now), usual);
        let of_zone = |zone: &str| {
            let others = by_zone.get(zone).cloned().unwrap_or_default();
            let size = asked
                .members
                .get(zone)
                .copied()
                .unwrap_or(1)
                .max(others.len());
            let own = if zone == asked.from { own } else { 0.0 };
            let (needed, word) = enough(asked.enough, size);
            (EvidenceSum::of(others, own, word, max_faulty(size)), needed)
        };
        let (here, needed) = of_zone(asked.from);
        let (home, _) = of_zone(asked.home);
        let others: Vec<EvidenceSum> = by_zone
            .keys()
            .filter(|zone| **zone != asked.from && **zone != asked.home)
            .map(|zone| of_zone(zone).0)
            .collect();
        // Two zones that find the same by themselves are more than one that finds it twice as clearly.
        let agreeing = others.iter().filter(|sum| sum.bad >= needed / 2.0).count();
        let elsewhere = if agreeing >= 2 {
            others.iter().map(|sum| sum.bad.max(0.0)).sum::<f64>()
        } else {
            0.0
        };
        // What lies in a zone is known best there, and what those who look have seen themselves goes before all: that
        // others cannot get there may be their way. What is cut off from the others still serves its own.
        let away = asked.from != asked.home;
        let told = if away && here.well <= needed / 2.0 {
            home.bad.max(elsewhere)
        } else {
            0.0
        };
        let bad = here.bad.max(told);
        let well = if away {
            here.well.max(home.well)
        } else {
            here.well
        };
        let mut sums = vec![here];
        sums.extend(away.then_some(home));
        sums.extend(others);
        let witnesses = sums.iter().fold((0, 0), |all, sum| {
            (all.0 + sum.witnesses.0, all.1 + sum.witnesses.1)
        });
        let zones = sums.iter().filter(|sum| sum.bad >= needed / 2.0).count();
        Assessment {
            ill,
            is_ill: bad >= needed,
            strength: (bad / needed).max(0.0),
            wellness: (well / needed).max(0.0),
            counts,
            witnesses,
            zones,
        }
    }
}
