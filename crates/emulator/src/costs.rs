//! The price list: what a fleet pays beside the work itself, by tier, with the largest sender and the worst second
//! of each. What does no harm in one balancer shows here where all do it.

use crate::units::SECOND;
use serde::{Deserialize, Serialize};
use std::fmt;
use woadstall_engine::Time;

/// What is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cost {
    /// Connections opened to upstreams.
    Handshakes,
    /// Connections that upstreams had no place for.
    #[serde(rename = "crowded")]
    ConnectionsRefused,
    /// Reads of the list from discovery.
    Reads,
    /// Those of them that failed.
    FailedReads,
    /// Probes of upstreams.
    Probes,
    /// Attempts that were not the first of their request.
    #[serde(rename = "repeats")]
    Retries,
    /// Attempts that crossed zones.
    #[serde(rename = "crossings")]
    CrossZoneAttempts,
    /// Requests that a balancer refused.
    Refusals,
    /// Connections of callers to balancers.
    #[serde(rename = "lines")]
    CallerConnections,
    /// Requests that reached no balancer: it was dead, and the front had not noticed.
    Unreached,
}

impl Cost {
    /// All of them.
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

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CostRow {
    /// The tier that was sent to.
    pub tier: String,
    /// What was paid for.
    #[serde(rename = "price")]
    pub cost: Cost,
    /// How often, in all.
    pub total: u64,
    /// For each request that balancers of the tier took.
    #[serde(rename = "each")]
    pub per_request: f64,
    /// The balancer that paid most often, and its part of the total.
    #[serde(rename = "largest")]
    pub largest_sender: (u32, f64),
    /// The worst second, and how often it was paid in that.
    #[serde(rename = "worst")]
    pub worst_second: (u64, u64),
}

#[derive(Clone, Debug, Default)]
struct Tally {
    total: u64,
    senders: Vec<u32>,
    seconds: Vec<u32>,
}

fn raise(counts: &mut Vec<u32>, at: usize) {
    if counts.len() <= at {
        counts.resize(at + 1, 0);
    }
    counts[at] = counts[at].saturating_add(1);
}

fn most(counts: &[u32]) -> (usize, u32) {
    // Of equals the first, so that the same run names the same one.
    counts
        .iter()
        .copied()
        .enumerate()
        .rev()
        .max_by_key(|(_, count)| *count)
        .unwrap_or((0, 0))
}

/// Counts while a run goes on.
#[derive(Clone, Debug, Default)]
pub struct CostCounters {
    tiers: Vec<(u64, [Tally; Cost::ALL.len()])>,
}

impl CostCounters {
    /// For so many tiers.
    pub fn new(tiers: usize) -> Self {
        Self {
            tiers: vec![Default::default(); tiers],
        }
    }

    /// A balancer of a tier took a request.
    pub fn request(&mut self, tier: usize) {
        self.tiers[tier].0 += 1;
    }

    /// A balancer of a tier paid.
    pub fn pay(&mut self, now: Time, tier: usize, price: Cost, sender: usize) {
        let tally = &mut self.tiers[tier].1[price as usize];
        tally.total += 1;
        raise(&mut tally.senders, sender);
        raise(&mut tally.seconds, (now / SECOND) as usize);
    }

    /// What was paid at all, by tier.
    pub fn rows(&self, names: &[String]) -> Vec<CostRow> {
        let tiers = self.tiers.iter().zip(names);
        let rows = tiers.flat_map(|((requests, tallies), tier)| {
            Cost::ALL
                .into_iter()
                .zip(tallies)
                .filter(|(_, tally)| tally.total > 0)
                .map(move |(price, tally)| {
                    let ((sender, count), (second, worst)) =
                        (most(&tally.senders), most(&tally.seconds));
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
