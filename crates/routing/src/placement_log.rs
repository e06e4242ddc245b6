//! Which shared prefixes were sent to which upstreams a moment ago, by this balancer and by those
//! near it.

use std::collections::VecDeque;
use woadstall_control::loads::PrefixPlacement;

/// The most placement numbers that are remembered to detect duplicates: those of all balancers of a
/// region in the seconds in which they may be reported again.
const MAX_KNOWN: usize = 512;
/// The most placements in one report, so that it fits into a datagram.
pub(crate) const MAX_REPORTED: usize = 64;
/// How long a placement is reported, in milliseconds: several reports and the period in which they
/// are passed on.
const REPORTED_FOR_MS: u64 = 400;
/// The longest gap between reports, in milliseconds, after which placements of other balancers may
/// have been missed.
const MAX_REPORT_GAP_MS: u64 = 3_000;
/// How long reports must have come without such a gap before all placements count as known, in
/// milliseconds: in that time most prefixes that are in use are requested again.
const SYNCHRONIZED_AFTER_MS: u64 = 10_000;

/// The placements of shared prefixes that this balancer makes and receives.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlacementLog {
    /// Those that this balancer made, with their times, oldest first.
    own: VecDeque<(u64, PrefixPlacement)>,
    /// The numbers of all known placements, oldest first.
    known: VecDeque<u32>,
    reports: Option<ReportSpan>,
}

/// The time over which reports of other balancers came without a gap, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct ReportSpan {
    since: u64,
    last: u64,
}

impl PlacementLog {
    /// Records a placement by this balancer.
    pub fn record_own(&mut self, now: u64, placement: PrefixPlacement) {
        self.own.push_back((now, placement));
        if self.own.len() > MAX_KNOWN {
            self.own.pop_front();
        }
        self.insert(placement.number);
    }

    /// Records the number of a placement and returns whether it was new.
    pub fn insert(&mut self, number: u32) -> bool {
        if self.known.contains(&number) {
            return false;
        }
        self.known.push_back(number);
        if self.known.len() > MAX_KNOWN {
            self.known.pop_front();
        }
        true
    }

    /// The newest placements of this balancer that are still to be reported, newest first.
    pub fn recent(&mut self, now: u64) -> Vec<PrefixPlacement> {
        while self
            .own
            .front()
            .is_some_and(|(made_at, _)| now > made_at + REPORTED_FOR_MS)
        {
            self.own.pop_front();
        }
        self.own
            .iter()
            .rev()
            .take(MAX_REPORTED)
            .map(|(_, placement)| *placement)
            .collect()
    }

    /// Records that a report of other balancers' placements has come.
    pub fn record_report(&mut self, now: u64) {
        let unbroken = self
            .reports
            .filter(|span| now <= span.last + MAX_REPORT_GAP_MS);
        let since = unbroken.map_or(now, |span| span.since);
        self.reports = Some(ReportSpan { since, last: now });
    }

    /// Whether a prefix that no known upstream has cached was most likely not placed by any
    /// balancer.
    pub fn is_synchronized(&self, now: u64) -> bool {
        self.reports.is_some_and(|span| {
            now <= span.last + MAX_REPORT_GAP_MS && now >= span.since + SYNCHRONIZED_AFTER_MS
        })
    }
}
