//! Log of recent prefix placements: the upstreams that this balancer and nearby balancers have sent
//! shared prefixes to.

use std::collections::VecDeque;
use woadstall_control::loads::PrefixPlacement;

/// Maximum number of placement numbers kept to detect duplicates. The limit covers the placements
/// of all balancers of a region during the seconds in which a placement may be reported again.
const MAX_SEEN_NUMBERS: usize = 512;
/// Maximum number of entries of one kind in a report, so that the report fits into a datagram.
pub(crate) const MAX_REPORT_ENTRIES: usize = 64;
/// How long a placement is included in reports, in milliseconds. The period covers several reports
/// and the time until other balancers have relayed them.
const REPORT_DURATION_MS: u64 = 400;
/// Maximum gap between reports, in milliseconds. After a longer gap, placements of other balancers
/// may have been missed.
const MAX_REPORT_GAP_MS: u64 = 3_000;
/// How long reports must have arrived without a gap before the log counts as complete, in
/// milliseconds. Most prefixes in use are requested again within this time.
const SYNCHRONIZED_AFTER_MS: u64 = 10_000;

/// The shared-prefix placements that this balancer has made or received in reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlacementLog {
    /// Placements made by this balancer with their times in milliseconds, oldest first.
    own: VecDeque<(u64, PrefixPlacement)>,
    /// Numbers of all placements seen, whether made by this balancer or received, oldest first.
    seen_numbers: VecDeque<u32>,
    /// `None` until the first report has arrived.
    reports: Option<ReportSpan>,
}

/// Period in which reports of other balancers arrived without a gap, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct ReportSpan {
    first_report_ms: u64,
    last_report_ms: u64,
}

impl PlacementLog {
    /// Records a placement by this balancer.
    pub fn record_own(&mut self, now: u64, placement: PrefixPlacement) {
        self.own.push_back((now, placement));
        if self.own.len() > MAX_SEEN_NUMBERS {
            self.own.pop_front();
        }
        self.insert(placement.number);
    }

    /// Records the number of a placement and returns whether it was new.
    pub fn insert(&mut self, number: u32) -> bool {
        if self.seen_numbers.contains(&number) {
            return false;
        }
        self.seen_numbers.push_back(number);
        if self.seen_numbers.len() > MAX_SEEN_NUMBERS {
            self.seen_numbers.pop_front();
        }
        true
    }

    /// Returns the placements of this balancer that are recent enough to be reported, newest first
    /// and at most [`MAX_REPORT_ENTRIES`].
    pub fn recent(&mut self, now: u64) -> Vec<PrefixPlacement> {
        while self
            .own
            .front()
            .is_some_and(|(made_at, _)| now > made_at + REPORT_DURATION_MS)
        {
            self.own.pop_front();
        }
        self.own
            .iter()
            .rev()
            .take(MAX_REPORT_ENTRIES)
            .map(|(_, placement)| *placement)
            .collect()
    }

    /// Records the arrival of a report of other balancers' placements.
    pub fn record_report(&mut self, now: u64) {
        let unbroken = self
            .reports
            .filter(|span| now <= span.last_report_ms + MAX_REPORT_GAP_MS);
        let first_report_ms = unbroken.map_or(now, |span| span.first_report_ms);
        self.reports = Some(ReportSpan {
            first_report_ms,
            last_report_ms: now,
        });
    }

    /// Whether the log is complete, so that a prefix which is in no known prefix cache has most
    /// likely not been placed by any balancer.
    pub fn is_synchronized(&self, now: u64) -> bool {
        self.reports.is_some_and(|span| {
            now <= span.last_report_ms + MAX_REPORT_GAP_MS
                && now >= span.first_report_ms + SYNCHRONIZED_AFTER_MS
        })
    }
}
