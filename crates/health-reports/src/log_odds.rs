//! How strongly the counts of one reporter speak for a subject being unhealthy, and what remains of
//! many reporters without the faulty ones.

use crate::call_counts::CallCounts;
use std::ops::RangeInclusive;

/// How a subject is unhealthy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Symptom {
    /// Calls fail.
    Failing,
    /// Answers come far later than usual, or not at all.
    Slow,
}

/// The rate of calls that fail, or are slow, at an unhealthy subject: half of them would drive off
/// the rest.
const UNHEALTHY_RATE: f64 = 0.5;
/// The lowest and highest rates that are assumed of a healthy subject: chance alone makes some
/// calls fail, and where more than the highest is usual, a comparison with what is usual finds
/// nothing.
const HEALTHY_FAILURE_RATE: RangeInclusive<f64> = 0.02..=0.25;
const HEALTHY_DEGRADED_RATE: RangeInclusive<f64> = 0.06..=0.35;
/// The log odds at which a subject counts as unhealthy: one false alarm in a million assessments,
/// ten of them a second, for subjects that fail independently. Faulty reporters are accounted for
/// by [`max_faulty`].
pub const UNHEALTHY_LOG_ODDS: f64 = 13.8;
/// The same for a single server: little is lost where it is avoided without need.
pub const SERVER_UNHEALTHY_LOG_ODDS: f64 = 9.2;
/// The most log odds of one reporter: some failures in a row at one sender may be its own.
const MAX_REPORTER_LOG_ODDS: f64 = 4.0;
/// The fraction of the reporters that may be faulty (lie, or be cut off).
const FAULTY_FRACTION: f64 = 0.1;

/// How many of a number of reporters may be faulty: at least one, except where there is only one.
pub fn max_faulty(reporters: usize) -> usize {
    if reporters < 2 {
        0
    } else {
        (reporters as f64 * FAULTY_FRACTION).ceil() as usize
    }
}

/// How much evidence is needed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceThreshold {
    /// The log odds that are enough.
    pub log_odds: f64,
    /// The most log odds of one reporter.
    pub max_per_reporter: f64,
}

impl EvidenceThreshold {
    /// The threshold of `log_odds` among so many possible reporters. The few that remain without
    /// the faulty ones must be able to reach it, and a third of all have to.
    pub fn among(log_odds: f64, reporters: usize) -> Self {
        let third = (reporters as f64 / 3.0).max(1.0);
        Self {
            log_odds,
            max_per_reporter: MAX_REPORTER_LOG_ODDS.max(log_odds / third),
        }
    }
}

impl Symptom {
    /// The log odds that counts give for a subject having this symptom, where `baseline` is the
    /// rate elsewhere.
    pub fn log_odds(self, counts: &CallCounts, baseline: f64) -> f64 {
        let (hits, healthy_rates) = match self {
            Self::Failing => (counts.failed, HEALTHY_FAILURE_RATE),
            Self::Slow => (counts.failed + counts.slow, HEALTHY_DEGRADED_RATE),
        };
        let healthy_rate = baseline.clamp(*healthy_rates.start(), *healthy_rates.end());
        let misses = (counts.attempts - hits).max(0.0);
        hits * (UNHEALTHY_RATE / healthy_rate).ln()
            + misses * ((1.0 - UNHEALTHY_RATE) / (1.0 - healthy_rate)).ln()
    }
}

/// The weight of one reporter's report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedReport {
    /// The log odds of the subject being unhealthy.
    pub log_odds: f64,
    /// How recent it is: 1 for now, falling to 0.
    pub freshness: f64,
}

/// How many reporters stand on either side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reporters {
    /// Those whose counts speak against the subject.
    pub against: usize,
    /// Those whose counts speak for it.
    pub in_favor: usize,
}

/// The evidence of many reporters together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EvidenceSum {
    /// The log odds of being unhealthy, without the strongest evidence for it of as many reporters
    /// as may be faulty.
    pub unhealthy: f64,
    /// The log odds of being healthy, likewise.
    pub healthy: f64,
    /// The reporters on either side.
    pub reporters: Reporters,
}

impl EvidenceSum {
    /// The sum of others' reports and the log odds of the own calls, each limited to
    /// `max_per_reporter`, without the strongest `faulty` reports on either side. Older evidence
    /// that the subject is healthy counts less against its being unhealthy now.
    pub fn new(
        mut others: Vec<WeightedReport>,
        own: f64,
        max_per_reporter: f64,
        faulty: usize,
    ) -> Self {
        let limited = |log_odds: f64| log_odds.clamp(-max_per_reporter, max_per_reporter);
        others
            .iter_mut()
            .for_each(|report| report.log_odds = limited(report.log_odds));
        others.sort_by(|a, b| a.log_odds.total_cmp(&b.log_odds));
        let against = others.iter().filter(|report| report.log_odds > 0.0).count();
        let in_favor = others.iter().filter(|report| report.log_odds < 0.0).count();
        // Faulty reporters cannot be told from sound ones: the strongest evidence of each side is
        // left out, whosever it is.
        let against_without_faulty = &others[..others.len() - against.min(faulty)];
        let in_favor_without_faulty = &others[in_favor.min(faulty)..];
        let discounted = |report: &WeightedReport| {
            if report.log_odds < 0.0 {
                report.log_odds * report.freshness
            } else {
                report.log_odds
            }
        };
        let unhealthy: f64 = against_without_faulty.iter().map(discounted).sum();
        let healthy: f64 = in_favor_without_faulty
            .iter()
            .map(|report| report.log_odds)
            .sum();
        Self {
            unhealthy: unhealthy + limited(own),
            healthy: -(healthy + limited(own)),
            reporters: Reporters {
                against: against + usize::from(own > 0.0),
                in_favor: in_favor + usize::from(own < 0.0),
            },
        }
    }
}
