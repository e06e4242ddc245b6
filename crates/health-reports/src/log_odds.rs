//! The log odds, from the counts of one reporter, that a subject is unhealthy, and the sum of the
//! evidence of many reporters some of whom may be faulty.

use crate::call_counts::CallCounts;
use std::ops::RangeInclusive;

/// The way in which a subject is unhealthy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Symptom {
    /// Calls fail.
    Failing,
    /// Calls fail or are answered far later than usual.
    Slow,
}

/// The assumed rate of calls that fail, or are slow, at an unhealthy subject. If half of the calls
/// fail, callers give up on the other half as well.
const UNHEALTHY_RATE: f64 = 0.5;
/// The lowest and highest rates of failed calls that are assumed for a healthy subject. Some calls
/// fail by chance even if the baseline is 0. Without the upper limit, a comparison with a high baseline
/// would find no unhealthy subject.
const HEALTHY_FAILURE_RATE: RangeInclusive<f64> = 0.02..=0.25;
/// The lowest and highest rates of failed or slow calls that are assumed for a healthy subject.
const HEALTHY_DEGRADED_RATE: RangeInclusive<f64> = 0.06..=0.35;
/// The log odds at which a zone or class counts as unhealthy. They correspond to one false alarm in
/// a million assessments, at ten assessments a second, for subjects that fail independently. Faulty
/// reporters are accounted for by [`max_faulty`].
pub const UNHEALTHY_LOG_ODDS: f64 = 13.8;
/// The log odds at which a single server counts as unhealthy. They are lower than for a zone because
/// avoiding one healthy server costs little.
pub const SERVER_UNHEALTHY_LOG_ODDS: f64 = 9.2;
/// The default limit of one reporter's log odds. Several failures in a row at one sender may be the
/// sender's own fault.
const MAX_REPORTER_LOG_ODDS: f64 = 4.0;
/// The fraction of the reporters that may be faulty, which means that they send false reports or are
/// partitioned from the subject.
const FAULTY_FRACTION: f64 = 0.1;

/// Returns how many of a number of reporters may be faulty: a tenth, rounded up, but none if there
/// are fewer than two reporters.
pub fn max_faulty(reporters: usize) -> usize {
    if reporters < 2 {
        0
    } else {
        (reporters as f64 * FAULTY_FRACTION).ceil() as usize
    }
}

/// The amount of evidence that is needed for a subject to count as unhealthy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceThreshold {
    /// The log odds at which a subject counts as unhealthy.
    pub log_odds: f64,
    /// The limit of one reporter's log odds, in both directions.
    pub max_per_reporter: f64,
}

impl EvidenceThreshold {
    /// Creates a threshold of `log_odds` for a number of possible reporters. The limit of one
    /// reporter's log odds is chosen so that a third of all reporters can reach the threshold. In a
    /// small group, the few reporters that remain without the faulty ones can then reach it, too.
    pub fn for_reporters(log_odds: f64, reporters: usize) -> Self {
        let third = (reporters as f64 / 3.0).max(1.0);
        Self {
            log_odds,
            max_per_reporter: MAX_REPORTER_LOG_ODDS.max(log_odds / third),
        }
    }
}

impl Symptom {
    /// Returns the log odds, given the counts of calls to a subject, that the subject has this
    /// symptom. `baseline` is the usual rate at comparable subjects.
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

/// The evidence of one reporter's report about a subject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedReport {
    /// The log odds of the subject being unhealthy.
    pub log_odds: f64,
    /// A weight for the age of the report: 1 for a new report, decaying to 0.
    pub freshness: f64,
}

/// The number of reporters with evidence against and in favor of a subject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reporters {
    /// The number of reporters whose counts are evidence that the subject is unhealthy.
    pub against: usize,
    /// The number of reporters whose counts are evidence that the subject is healthy.
    pub in_favor: usize,
}

/// The sum of the evidence of many reporters about a subject.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EvidenceSum {
    /// The log odds of the subject being unhealthy. The strongest reports against the subject are
    /// left out, as many as there may be faulty reporters.
    pub unhealthy: f64,
    /// The log odds of the subject being healthy. The strongest reports in favor of the subject are
    /// left out, as many as there may be faulty reporters.
    pub healthy: f64,
    /// The number of reporters against and in favor of the subject, including the left out ones.
    pub reporters: Reporters,
}

impl EvidenceSum {
    /// Sums the reports of other members and the log odds of this balancer's own calls.
    ///
    /// The log odds of each reporter are limited to `max_per_reporter`. The strongest `faulty`
    /// reports on either side are left out. In the log odds of being unhealthy, evidence that the
    /// subject is healthy is weighted by its freshness.
    pub fn new(
        mut others: Vec<WeightedReport>,
        own_log_odds: f64,
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
        // Faulty reporters cannot be distinguished from correct ones, so the strongest evidence on
        // each side is left out regardless of who reported it.
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
            unhealthy: unhealthy + limited(own_log_odds),
            healthy: -(healthy + limited(own_log_odds)),
            reporters: Reporters {
                against: against + usize::from(own_log_odds > 0.0),
                in_favor: in_favor + usize::from(own_log_odds < 0.0),
            },
        }
    }
}
