//! Counts of many reports by second, route, zone, upstream and exclusion.

use crate::outcome::{AttemptOutcome, Cause};
use crate::report::RequestReport;
use std::collections::BTreeMap;

/// A number of reports or exclusions for each cause.
pub type CauseCounts = BTreeMap<Cause, usize>;

/// Counts of many reports. `Display` writes them as tables.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    reports: usize,
    by_second: BTreeMap<u64, CauseCounts>,
    pub(crate) by_route: BTreeMap<String, CauseCounts>,
    pub(crate) by_balancer_zone: BTreeMap<String, CauseCounts>,
    /// The number of attempts with each outcome, by the zone and id of the upstream.
    pub(crate) by_upstream: BTreeMap<(String, String), BTreeMap<AttemptOutcome, usize>>,
    /// The number of exclusions of upstreams, by reason and by the cause of the request's report.
    pub(crate) by_exclusion: BTreeMap<String, CauseCounts>,
    /// The latencies of the first data, by route, in milliseconds.
    pub(crate) first_data_ms: BTreeMap<String, Vec<u64>>,
}

impl Summary {
    /// Adds a report whose log line was written in the given second of the day.
    pub fn add(&mut self, second: u64, report: &RequestReport) {
        let cause = report.cause;
        self.reports += 1;
        add_count(&mut self.by_second, second, cause, 1);
        add_count(&mut self.by_route, report.route.clone(), cause, 1);
        let zone = report.balancer_zone.clone();
        add_count(&mut self.by_balancer_zone, zone, cause, 1);
        if let Some(first) = report.first_data_ms {
            let latencies = self.first_data_ms.entry(report.route.clone());
            latencies.or_default().push(first);
        }
        for attempt in &report.attempts {
            let upstream = (attempt.zone.clone(), attempt.upstream.clone());
            let outcomes = self.by_upstream.entry(upstream).or_default();
            *outcomes.entry(attempt.outcome).or_default() += 1;
            for (reason, exclusions) in &attempt.excluded {
                add_count(&mut self.by_exclusion, reason.clone(), cause, *exclusions);
            }
        }
    }

    /// Returns the total number of reports.
    pub fn reports(&self) -> usize {
        self.reports
    }

    /// Returns the number of reports by second of the day and by cause. Seconds without reports are
    /// left out.
    pub fn by_second(&self) -> &BTreeMap<u64, CauseCounts> {
        &self.by_second
    }

    /// Returns the causes that occur, without duplicates, in the order of [`Cause`].
    pub fn causes(&self) -> Vec<Cause> {
        let mut causes: Vec<Cause> = self
            .by_second
            .values()
            .flat_map(|counts| counts.keys().copied())
            .collect();
        causes.sort_unstable();
        causes.dedup();
        causes
    }
}

fn add_count<K: Ord>(counts: &mut BTreeMap<K, CauseCounts>, key: K, cause: Cause, count: usize) {
    *counts.entry(key).or_default().entry(cause).or_default() += count;
}
