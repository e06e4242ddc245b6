//! Which baseline policies there are, and their names.

use super::error::PolicyError;
use std::fmt;
use std::str::FromStr;

/// How a server is picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerSelection {
    /// Any, each as likely.
    Random,
    /// One after the other.
    RoundRobin,
    /// Of two drawn at random the one with fewer calls in flight (Mitzenmacher, "The Power of Two Choices in
    /// Randomized Load Balancing", 2001).
    TwoChoices,
    /// The one with the fewest calls in flight; the first in turn among equals.
    LeastConnections,
    /// Of two drawn at random the one with the lower peak-sensitive moving average of the latency times its
    /// calls in flight (Finagle's documentation, "Power of Two Choices (P2C) + Peak EWMA").
    PeakEwma,
    /// Ribbon's zone avoidance and availability filter, with round robin ("Deep Dive into Ribbon"): its
    /// thresholds as the article has them, its breaker as Ribbon's wiki describes it (three connection failures
    /// or time-outs in a row, an open time that doubles up to 30 s).
    Ribbon,
}

/// What limits the calls in flight from one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConcurrencyLimit {
    /// Nothing.
    None,
    /// One more while the limit is used and all goes well, a tenth less on each failure (TCP's rule; Netflix
    /// concurrency-limits, `AIMDLimit`).
    Aimd,
    /// The limit follows the ratio of the least latency to the present one (Netflix concurrency-limits,
    /// `Gradient2Limit`).
    Gradient,
}

/// When a call that failed is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Never.
    Never,
    /// Always, as often as the settings allow.
    Fixed,
    /// While a token bucket lasts, into which each call puts a fifth (gRPC A6, "retryThrottling"; Finagle's
    /// `RetryBudget`).
    Budget,
}

/// A baseline policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BaselineConfig {
    /// How a server is picked.
    pub selection: ServerSelection,
    /// Servers that fail five times in a row are left out for 30 s, a tenth of them at most (Envoy's
    /// documentation, "Outlier detection", consecutive 5xx).
    pub ejects_outliers: bool,
    /// What limits the calls in flight.
    pub limit: ConcurrencyLimit,
    /// When a call is tried again.
    pub retries: RetryPolicy,
}

const PICKS: [(&str, ServerSelection); 6] = [
    ("random", ServerSelection::Random),
    ("round-robin", ServerSelection::RoundRobin),
    ("two-choices", ServerSelection::TwoChoices),
    ("least-connections", ServerSelection::LeastConnections),
    ("peak-ewma", ServerSelection::PeakEwma),
    ("ribbon", ServerSelection::Ribbon),
];

impl fmt::Display for BaselineConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = PICKS
            .iter()
            .find(|(_, pick)| *pick == self.selection)
            .map_or("", |(name, _)| name);
        f.write_str(name)?;
        f.write_str(if self.ejects_outliers { "+outlier" } else { "" })?;
        f.write_str(match self.limit {
            ConcurrencyLimit::None => "",
            ConcurrencyLimit::Aimd => "+aimd",
            ConcurrencyLimit::Gradient => "+gradient",
        })?;
        f.write_str(match self.retries {
            RetryPolicy::Never => "",
            RetryPolicy::Fixed => "+retries",
            RetryPolicy::Budget => "+budget",
        })
    }
}

impl FromStr for BaselineConfig {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        let mut parts = text.split('+');
        let name = parts.next().unwrap_or_default();
        let Some((_, pick)) = PICKS.iter().find(|(known, _)| *known == name) else {
            let known: Vec<_> = PICKS.iter().map(|(known, _)| *known).collect();
            return Err(PolicyError::UnknownPolicy {
                name: name.to_owned(),
                known: known.join(", "),
            });
        };
        let mut config = Self {
            selection: *pick,
            ejects_outliers: false,
            limit: ConcurrencyLimit::None,
            retries: RetryPolicy::Never,
        };
        for part in parts {
            match part {
                "outlier" => config.ejects_outliers = true,
                "aimd" => config.limit = ConcurrencyLimit::Aimd,
                "gradient" => config.limit = ConcurrencyLimit::Gradient,
                "retries" => config.retries = RetryPolicy::Fixed,
                "budget" => config.retries = RetryPolicy::Budget,
                _ => {
                    return Err(PolicyError::UnknownAddition(part.to_owned()));
                }
            }
        }
        Ok(config)
    }
}
