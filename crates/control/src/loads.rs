//! What balancers report to each other of upstreams, by way of the control machines: prompt tokens
//! that wait for prefill, upstreams that fail, and the upstreams to which shared prefixes of
//! prompts were sent. Each balancer sees a small share of an upstream's requests; together they see
//! all.
//!
//! Everything here may be lost or late: it expires within a second. It orders preferences, and has
//! balancers pass over an upstream that several of their zone report and that they have not heard
//! of since; it never makes an upstream eligible.

use nanoserde::{DeBin, SerBin};
use std::collections::{BTreeMap, BTreeSet};

/// A balancer's report of the upstreams that others should know of, complete each time.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct LoadReport {
    /// The hash of the balancer's name.
    pub balancer: u32,
    /// Rises with each report, also over restarts as long as the time of day does.
    pub sequence: u64,
    /// The balancer's zone.
    pub zone: String,
    /// The upstreams.
    pub upstreams: Vec<UpstreamLoad>,
    /// Prompts with a long shared prefix that were sent to upstreams a moment ago.
    pub placements: Vec<PrefixPlacement>,
}

/// A prompt with a long shared prefix that was sent to an upstream, which has the prefix in its
/// cache from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub struct PrefixPlacement {
    /// A random number that identifies the placement, as it is reported several times.
    pub number: u32,
    /// The hash of the upstream's id.
    pub upstream: u32,
    /// The hash of the prefix.
    pub prefix: u32,
    /// The number of the prefix's tokens.
    pub prefix_tokens: u32,
    /// The number of the other tokens of the prompt.
    pub suffix_tokens: u32,
}

/// The state of an upstream as one balancer sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct UpstreamLoad {
    /// The hash of its id.
    pub upstream: u32,
    /// Prompt tokens that were sent to it and that it has not begun to answer.
    pub pending_prefill_tokens: u32,
    /// Whether it fails or sends nothing though requests wait there.
    pub is_failing: bool,
}

/// The state of an upstream as the balancers near the receiver see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct FleetLoad {
    /// The hash of its id.
    pub upstream: u32,
    /// Prompt tokens that wait for prefill, of all balancers of the region.
    pub pending_prefill_tokens: u32,
    /// The number of balancers of the zone with which it fails. Those of other zones may not reach
    /// it for a reason of their own.
    pub failing_balancers: u16,
}

/// What the balancers of a zone are notified of.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct FleetLoads {
    /// The upstreams that fail or have prompts that wait for prefill.
    pub upstreams: Vec<FleetLoad>,
    /// Placements of the last moments, of all balancers of the region.
    pub placements: Vec<PrefixPlacement>,
}

impl FleetLoads {
    /// Whether there is nothing to notify anyone of.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty() && self.placements.is_empty()
    }
}

/// The time in milliseconds after which a report expires: two of the periods in which balancers
/// repeat theirs, and the way.
const REPORT_TTL_MS: u64 = 800;

/// A report, and when it arrived.
#[derive(Clone, Debug)]
struct ReceivedReport {
    received_at: u64,
    report: LoadReport,
}

impl ReceivedReport {
    fn is_valid(&self, now: u64) -> bool {
        now <= self.received_at + REPORT_TTL_MS
    }
}

/// The newest report of each balancer, with times in milliseconds of one machine's clock.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    by_balancer: BTreeMap<u32, ReceivedReport>,
}

impl LoadReports {
    /// Records a report, unless one that is not older is known and has not expired.
    pub fn record(&mut self, now: u64, report: LoadReport) {
        let known = self
            .by_balancer
            .get(&report.balancer)
            .filter(|known| known.is_valid(now));
        if known.is_none_or(|known| known.report.sequence < report.sequence) {
            self.by_balancer.insert(
                report.balancer,
                ReceivedReport {
                    received_at: now,
                    report,
                },
            );
        }
    }

    /// Forgets reports that have expired.
    pub fn remove_expired(&mut self, now: u64) {
        self.by_balancer
            .retain(|_, received| received.is_valid(now));
    }

    /// What the balancers of a zone are to know, from the reports of zones that belong to its
    /// region.
    pub fn for_zone(&self, zone: &str, is_of_region: impl Fn(&str) -> bool) -> FleetLoads {
        let mut placements: BTreeSet<PrefixPlacement> = BTreeSet::new();
        let mut loads: BTreeMap<u32, FleetLoad> = BTreeMap::new();
        let reports = self.by_balancer.values().map(|received| &received.report);
        for report in reports.filter(|report| is_of_region(&report.zone)) {
            placements.extend(&report.placements);
            for load in &report.upstreams {
                let counts_as_failing = load.is_failing && report.zone == zone;
                let total = loads
                    .entry(load.upstream)
                    .or_insert(FleetLoad::idle(load.upstream));
                total.add(load.pending_prefill_tokens, counts_as_failing);
            }
        }
        let upstreams = loads.into_values().filter(|load| !load.is_idle()).collect();
        FleetLoads {
            upstreams,
            placements: placements.into_iter().collect(),
        }
    }
}

impl FleetLoad {
    fn idle(upstream: u32) -> Self {
        Self {
            upstream,
            pending_prefill_tokens: 0,
            failing_balancers: 0,
        }
    }

    fn is_idle(&self) -> bool {
        self.pending_prefill_tokens == 0 && self.failing_balancers == 0
    }

    fn add(&mut self, pending_prefill_tokens: u32, is_failing: bool) {
        self.pending_prefill_tokens = self
            .pending_prefill_tokens
            .saturating_add(pending_prefill_tokens);
        self.failing_balancers = self.failing_balancers.saturating_add(u16::from(is_failing));
    }
}
