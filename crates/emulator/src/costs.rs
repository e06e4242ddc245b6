//! Costs of a run apart from the work on requests, by tier, with the largest sender and the worst second. They
//! show behavior that is harmless in one balancer and expensive when all balancers do it.

use crate::units::SECOND;
use serde::{Deserialize, Serialize};
use std::fmt;
use woadstall_engine::Time;

/// Kinds of cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cost {
    /// Connections opened to upstreams.
    Handshakes,
    /// Connections that upstreams refused for lack of capacity.
    #[serde(rename = "crowded")]
    ConnectionsRefused,
    /// Reads of the upstream list from discovery.
    Reads,
    /// Reads of the upstream list that failed.
    FailedReads,
    /// Health probes of upstreams.
    Probes,
    /// Attempts after the first one of their request.
    #[serde(rename = "repeats")]
    Retries,
    /// Attempts from one zone to another.
    #[serde(rename = "crossings")]
    CrossZoneAttempts,
    /// Requests that a balancer refused.
    Refusals,
    /// Connections opened by callers to balancers.
    #[serde(rename = "lines")]
    CallerConnections,
    /// Requests that reached no balancer, because the front had not detected the death of the balancer yet.
    Unreached,
}

impl Cost {
    /// All kinds, in the order of the report.
    pub const ALL: [Self; 10] = [
        Self::Handshakes,
        Self::ConnectionsRefused,
        Self::Reads,
        Self::FailedReads,
        Self::Probes,
        Self::Retries,
        Self::CrossZoneAttempts,
        Self::Refusals,
        Self::CallerConnections,
        Self::Unreached,
    ];
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Handshakes => "handshakes",
            Self::ConnectionsRefused => "no place for a connection",
            Self::Reads => "list reads",
            Self::FailedReads => "list reads that failed",
            Self::Probes => "probes",
            Self::Retries => "repeats",
            Self::CrossZoneAttempts => "crossings",
            Self::Refusals => "refusals",
            Self::CallerConnections => "callers' connections",
            Self::Unreached => "reached no balancer",
        })
    }
}

/// Row of the cost table.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CostRow {
    /// Tier whose balancers incurred the cost.
    pub tier: String,
    /// Kind of cost.
    #[serde(rename = "price")]
    pub cost: Cost,
    /// Number of occurrences in the whole run.
    pub total: u64,
    /// Occurrences per request that the tier's balancers received.
    #[serde(rename = "each")]
    pub per_request: f64,
    /// Balancer with the most occurrences, and its fraction of the total.
    #[serde(rename = "largest")]
    pub largest_sender: (u32, f64),
    /// Second of the run with the most occurrences, and their number.
    #[serde(rename = "worst")]
    pub worst_second: (u64, u64),
}

#[derive(Clone, Debug, Default)]
struct Tally {
    total: u64,
    count_by_sender: Vec<u32>,
    count_by_second: Vec<u32>,
}

fn increment(counts: &mut Vec<u32>, at: usize) {
    if counts.len() <= at {
        counts.resize(at + 1, 0);
    }
    counts[at] = counts[at].saturating_add(1);
}

fn first_maximum(counts: &[u32]) -> (usize, u32) {
    // Of equal counts the first one is taken, so that the result is deterministic.
    counts
        .iter()
        .copied()
        .enumerate()
        .rev()
        .max_by_key(|(_, count)| *count)
        .unwrap_or((0, 0))
}

/// Collects the costs during a run.
#[derive(Clone, Debug, Default)]
pub struct CostCounters {
    tiers: Vec<(u64, [Tally; Cost::ALL.len()])>,
}

impl CostCounters {
    /// Creates counters for a number of tiers.
    pub fn new(tiers: usize) -> Self {
        Self {
            tiers: vec![Default::default(); tiers],
        }
    }

    /// Counts a request that a balancer of the tier received.
    pub fn count_request(&mut self, tier: usize) {
        self.tiers[tier].0 += 1;
    }

    /// Counts one occurrence of a cost at a balancer of the tier.
    pub fn count(&mut self, now: Time, tier: usize, price: Cost, sender: usize) {
        let tally = &mut self.tiers[tier].1[price as usize];
        tally.total += 1;
        increment(&mut tally.count_by_sender, sender);
        increment(&mut tally.count_by_second, (now / SECOND) as usize);
    }

    /// Table of all costs that occurred, by tier.
    pub fn rows(&self, names: &[String]) -> Vec<CostRow> {
        let tiers = self.tiers.iter().zip(names);
        let rows = tiers.flat_map(|((requests, tallies), tier)| {
            Cost::ALL
                .into_iter()
                .zip(tallies)
                .filter(|(_, tally)| tally.total > 0)
                .map(move |(price, tally)| {
                    let ((sender, count), (second, worst)) = (
                        first_maximum(&tally.count_by_sender),
                        first_maximum(&tally.count_by_second),
                    );
                    CostRow {
                        tier: tier.clone(),
                        cost: price,
                        total: tally.total,
                        per_request: tally.total as f64 / (*requests).max(1) as f64,
                        largest_sender: (sender as u32, f64::from(count) / tally.total as f64),
                        worst_second: (second as u64, u64::from(worst)),
                    }
                })
        });
        rows.collect()
    }
}

#[cfg(test)]
mod tests;
