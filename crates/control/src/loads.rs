//! What balancers tell each other of upstreams, through the control machines: prompt tokens that wait to be read, upstreams that
//! fail, and where beginnings of prompts were sent to be read and kept. Each balancer sees a small share of an upstream's
//! requests; together they see all.
//!
//! Everything here may be lost or late: it ages within a second. It orders preferences, and has balancers pass over an upstream
//! that several of their zone tell of and that they have not heard of since; it never makes an upstream one that may be used.

use nanoserde::{DeBin, SerBin};
use std::collections::{BTreeMap, BTreeSet};

/// What a balancer tells of the upstreams that others should know of, whole each time.
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
    /// Prompts with a long beginning that were sent to upstreams a moment ago.
    pub placements: Vec<PrefixPlacement>,
}

/// A prompt with a long beginning that was sent to an upstream, which keeps it from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub struct PrefixPlacement {
    /// Drawn by chance, as a placement is told several times.
    pub number: u32,
    /// The hash of the upstream's id.
    pub upstream: u32,
    /// The hash of the beginning.
    pub prefix: u32,
    /// The beginning's tokens.
    pub prefix_tokens: u32,
    /// The tokens of the rest of the prompt.
    pub suffix_tokens: u32,
}

/// How an upstream stands with one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct UpstreamLoad {
    /// The hash of its id.
    pub upstream: u32,
    /// Prompt tokens that it has been sent and has not begun to answer.
    pub pending_prefill_tokens: u32,
    /// Whether it fails or tells nothing though requests wait there.
    pub is_failing: bool,
}

/// How an upstream stands with the balancers near the one that is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct FleetLoad {
    /// The hash of its id.
    pub upstream: u32,
    /// Prompt tokens that wait to be read, from all balancers of the region.
    pub pending_prefill_tokens: u32,
    /// Balancers of the zone with which it fails. Those of other zones may not reach it for a reason of their own.
    pub failing_balancers: u16,
}

/// What the balancers of a zone are told.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct FleetLoads {
    /// The upstreams that there is something to tell of; all others are well and have nothing to read.
    pub upstreams: Vec<FleetLoad>,
    /// Placements of the last moments, from all balancers of the region.
    pub placements: Vec<PrefixPlacement>,
}

impl FleetLoads {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty() && self.placements.is_empty()
    }
}

/// How long a report holds, in milliseconds: two of the periods in which balancers repeat theirs, and the way.
const REPORT_HOLDS: u64 = 800;

/// The newest report of each balancer.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    reports: BTreeMap<u32, (u64, LoadReport)>,
}

impl Loads {
    /// Takes a report, unless it is older than the one that is known and still holds.
    pub fn take(&mut self, now: u64, report: LoadReport) {
        let is_late = self
            .reports
            .get(&report.balancer)
            .is_some_and(|(at, known)| {
                now <= at + REPORT_HOLDS && known.sequence >= report.sequence
            });
        if !is_late {
            self.reports.insert(report.balancer, (now, report));
        }
    }

    /// Forgets reports that no longer hold.
    pub fn forget(&mut self, now: u64) {
        self.reports.retain(|_, (at, _)| now <= *at + REPORT_HOLDS);
    }

    /// What balancers of a zone are told, given which zones are of its region.
    pub fn of_zone(&self, zone: &str, is_of_region: impl Fn(&str) -> bool) -> FleetLoads {
        let mut placements: BTreeSet<PrefixPlacement> = BTreeSet::new();
        let mut told: BTreeMap<u32, FleetLoad> = BTreeMap::new();
        let reports = self.reports.values().map(|(_, report)| report);
        for report in reports.filter(|report| is_of_region(&report.zone)) {
            placements.extend(&report.placements);
            for load in &report.upstreams {
                let entry = FleetLoad {
                    upstream: load.upstream,
                    pending_prefill_tokens: 0,
                    failing_balancers: 0,
                };
                let entry = told.entry(load.upstream).or_insert(entry);
                entry.pending_prefill_tokens = entry
                    .pending_prefill_tokens
                    .saturating_add(load.pending_prefill_tokens);
                let counts = load.is_failing && report.zone == zone;
                entry.failing_balancers = entry.failing_balancers.saturating_add(u16::from(counts));
            }
        }
        let upstreams = told
            .into_values()
            .filter(|load| load.pending_prefill_tokens > 0 || load.failing_balancers > 0)
            .collect();
        FleetLoads {
            upstreams,
            placements: placements.into_iter().collect(),
        }
    }
}
