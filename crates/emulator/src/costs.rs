//! Costs of a run apart from the work on requests, by tier, with the balancer that incurs the most and the worst
//! second. The costs show behavior that is harmless in one balancer and expensive when all balancers do it.

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

/// Occurrences of one kind of cost in one tier.
#[derive(Clone, Debug, Default)]
struct Tally {
    total: u64,
    /// Occurrences by number of the balancer.
    count_by_sender: Vec<u32>,
    count_by_second: Vec<u32>,
}

/// Requests and costs of one tier.
#[derive(Clone, Debug, Default)]
struct TierCosts {
    requests: u64,
    /// One entry for each kind of cost, in the order of [`Cost::ALL`].
    tallies: [Tally; Cost::ALL.len()],
}

fn increment(counts: &mut Vec<u32>, index: usize) {
    if counts.len() <= index {
        counts.resize(index + 1, 0);
    }
    counts[index] = counts[index].saturating_add(1);
}

/// Index and value of the first maximum; 0 and 0 if there are no counts.
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
    tiers: Vec<TierCosts>,
}

impl CostCounters {
    /// Creates counters for a number of tiers.
    pub fn new(tiers: usize) -> Self {
        Self {
            tiers: vec![TierCosts::default(); tiers],
        }
    }

    /// Counts a request that a balancer of the tier received.
    pub fn count_request(&mut self, tier: usize) {
        self.tiers[tier].requests += 1;
    }

    /// Counts one occurrence of a cost at a balancer of the tier.
    pub fn count(&mut self, now: Time, tier: usize, cost: Cost, sender: usize) {
        let tally = &mut self.tiers[tier].tallies[cost as usize];
        tally.total += 1;
        increment(&mut tally.count_by_sender, sender);
        increment(&mut tally.count_by_second, (now / SECOND) as usize);
    }

    /// Table of all costs that occurred, by tier.
    pub fn rows(&self, names: &[String]) -> Vec<CostRow> {
        let tiers = self.tiers.iter().zip(names);
        let rows = tiers.flat_map(|(tier, name)| {
            Cost::ALL
                .into_iter()
                .zip(&tier.tallies)
                .filter(|(_, tally)| tally.total > 0)
                .map(move |(cost, tally)| {
                    let (sender, sender_count) = first_maximum(&tally.count_by_sender);
                    let (second, second_count) = first_maximum(&tally.count_by_second);
                    let sender_fraction = f64::from(sender_count) / tally.total as f64;
                    CostRow {
                        tier: name.clone(),
                        cost,
                        total: tally.total,
                        per_request: tally.total as f64 / tier.requests.max(1) as f64,
                        largest_sender: (sender as u32, sender_fraction),
                        worst_second: (second as u64, u64::from(second_count)),
                    }
                })
        });
        rows.collect()
    }
}

#[cfg(test)]
mod tests;
