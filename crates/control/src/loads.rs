//! Load reports that balancers exchange through the control machines. They cover the prompt tokens
//! that wait for prefill, failing upstreams, and the upstreams to which shared prompt prefixes were
//! sent. Each balancer sees only a small share of an upstream's requests; the combined reports
//! cover all of them.
//!
//! All load reports may be lost or delayed, and expire within a second. They rank upstreams by
//! preference. They also make a balancer skip an upstream that several balancers of its zone report
//! as failing and from which it has had no response since the reports. Load reports never make an
//! upstream eligible.

use nanoserde::{DeBin, SerBin};
use std::collections::{BTreeMap, BTreeSet};

/// A balancer's report of upstreams. Each report is complete and replaces the previous one.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct LoadReport {
    /// The balancer's name, hashed by [`short_hash`](crate::shards::short_hash).
    pub balancer: u32,
    /// The sequence number. It rises with each report, and also across restarts unless the time of
    /// day steps back.
    pub sequence: u64,
    /// The zone of the balancer.
    pub zone: String,
    /// The loaded or failing upstreams.
    pub upstreams: Vec<UpstreamLoad>,
    /// Recent placements of prompts with a long shared prefix.
    pub placements: Vec<PrefixPlacement>,
}

/// The placement of a prompt with a long shared prefix at an upstream, which has the prefix in its
/// cache from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub struct PrefixPlacement {
    /// A random number that identifies the placement, because a placement is reported several
    /// times.
    pub number: u32,
    /// The upstream's id, hashed by [`short_hash`](crate::shards::short_hash).
    pub upstream: u32,
    /// The hash of the shared prefix.
    pub prefix: u32,
    /// The number of tokens in the shared prefix.
    pub prefix_tokens: u32,
    /// The number of tokens in the prompt after the shared prefix.
    pub suffix_tokens: u32,
}

/// The load and health of an upstream as seen by one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct UpstreamLoad {
    /// The upstream's id, hashed by [`short_hash`](crate::shards::short_hash).
    pub upstream: u32,
    /// The number of prompt tokens sent to the upstream in requests for which it has not started
    /// its response.
    pub pending_prefill_tokens: u32,
    /// Whether requests to the upstream fail, or waiting requests get no response.
    pub is_failing: bool,
}

/// The load and health of an upstream as seen by the balancers near the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct FleetLoad {
    /// The upstream's id, hashed by [`short_hash`](crate::shards::short_hash).
    pub upstream: u32,
    /// The number of prompt tokens that wait for prefill, summed over all balancers of the region.
    pub pending_prefill_tokens: u32,
    /// The number of balancers in the receiver's zone that report the upstream as failing. Reports
    /// from other zones are excluded, because their balancers may be unable to reach the upstream
    /// for reasons that do not apply to this zone.
    pub failing_balancers: u16,
}

/// The combined load reports for the balancers of a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct FleetLoads {
    /// The upstreams that fail or have prompt tokens waiting for prefill.
    pub upstreams: Vec<FleetLoad>,
    /// Recent placements by all balancers of the region, each listed once.
    pub placements: Vec<PrefixPlacement>,
}

impl FleetLoads {
    /// Returns whether there are neither upstreams nor placements to report.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty() && self.placements.is_empty()
    }
}

/// The lifetime of a report in milliseconds: two reporting periods of the balancers plus the
/// transmission delay.
const REPORT_TTL_MS: u64 = 800;

/// A report and the time in milliseconds at which it arrived.
#[derive(Clone, Debug)]
struct ReceivedReport {
    received_at_ms: u64,
    report: LoadReport,
}

impl ReceivedReport {
    fn is_valid(&self, now_ms: u64) -> bool {
        now_ms <= self.received_at_ms + REPORT_TTL_MS
    }
}

/// The newest report of each balancer. All times are milliseconds of one machine's clock.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    by_balancer: BTreeMap<u32, ReceivedReport>,
}

impl LoadReports {
    /// Records a report, unless a valid report with the same or a higher sequence number is known
    /// from the same balancer.
    pub fn record(&mut self, now_ms: u64, report: LoadReport) {
        let known = self
            .by_balancer
            .get(&report.balancer)
            .filter(|known| known.is_valid(now_ms));
        if known.is_none_or(|known| known.report.sequence < report.sequence) {
            self.by_balancer.insert(
                report.balancer,
                ReceivedReport {
                    received_at_ms: now_ms,
                    report,
                },
            );
        }
    }

    /// Removes expired reports.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.by_balancer
            .retain(|_, received| received.is_valid(now_ms));
    }

    /// Combines the recorded reports for the balancers of `zone`. `is_in_region` tells for each
    /// reporting zone whether it belongs to the same region; reports from other zones are ignored.
    pub fn for_zone(&self, zone: &str, is_in_region: impl Fn(&str) -> bool) -> FleetLoads {
        let mut placements: BTreeSet<PrefixPlacement> = BTreeSet::new();
        let mut loads: BTreeMap<u32, FleetLoad> = BTreeMap::new();
        let reports = self.by_balancer.values().map(|received| &received.report);
        for report in reports.filter(|report| is_in_region(&report.zone)) {
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
