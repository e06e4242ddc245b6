//! Baseline policies and their names.

use super::error::PolicyError;
use std::fmt;
use std::str::FromStr;

/// How a server is selected for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerSelection {
    /// Uniformly at random.
    Random,
    /// Round robin.
    RoundRobin,
    /// Of two random servers, the one with fewer calls in flight (Mitzenmacher, "The Power of Two Choices in
    /// Randomized Load Balancing", 2001).
    TwoChoices,
    /// The server with the fewest calls in flight; among equals, the next one in round-robin order.
    LeastConnections,
    /// Of two random servers, the one with the lower product of calls in flight and peak-sensitive moving
    /// average of the latency (Finagle's documentation, "Power of Two Choices (P2C) + Peak EWMA").
    PeakEwma,
    /// Ribbon's zone avoidance and availability filter, with round robin. The thresholds follow the article
    /// "Deep Dive into Ribbon"; the circuit breaker follows Ribbon's wiki (three connection failures or
    /// timeouts in a row, and an open time that doubles up to 30 s).
    Ribbon,
}

/// How the calls in flight from one balancer are limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConcurrencyLimit {
    /// No limit.
    None,
    /// Additive increase while the limit is used and calls succeed, and a decrease by a tenth on each failure,
    /// as in TCP (Netflix concurrency-limits, `AIMDLimit`).
    Aimd,
    /// The limit follows the ratio of the lowest latency to the present latency (Netflix concurrency-limits,
    /// `Gradient2Limit`).
    Gradient,
}

/// When a failed call is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// No retries.
    Never,
    /// Retries up to the number of attempts that the settings allow.
    Fixed,
    /// Retries while a token bucket lasts, to which each call adds a fifth of a token (gRPC A6,
    /// "retryThrottling"; Finagle's `RetryBudget`).
    Budget,
}

/// Configuration of a baseline policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BaselineConfig {
    /// Selection of a server.
    pub selection: ServerSelection,
    /// Servers that fail five times in a row are ejected for 30 s, at most a tenth of all servers at a time
    /// (Envoy's documentation, "Outlier detection", consecutive 5xx).
    pub ejects_outliers: bool,
    /// Limit of the calls in flight.
    pub limit: ConcurrencyLimit,
    /// Retries of failed calls.
    pub retries: RetryPolicy,
}

/// Name of each selection in the name of a policy.
const SELECTION_NAMES: [(&str, ServerSelection); 6] = [
    ("random", ServerSelection::Random),
    ("round-robin", ServerSelection::RoundRobin),
    ("two-choices", ServerSelection::TwoChoices),
    ("least-connections", ServerSelection::LeastConnections),
    ("peak-ewma", ServerSelection::PeakEwma),
    ("ribbon", ServerSelection::Ribbon),
];

impl fmt::Display for BaselineConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = SELECTION_NAMES
            .iter()
            .find(|(_, selection)| *selection == self.selection)
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
        let Some((_, selection)) = SELECTION_NAMES.iter().find(|(known, _)| *known == name) else {
            let known: Vec<_> = SELECTION_NAMES.iter().map(|(known, _)| *known).collect();
            return Err(PolicyError::UnknownPolicy {
                name: name.to_owned(),
                known: known.join(", "),
            });
        };
        let mut config = Self {
            selection: *selection,
            ejects_outliers: false,
            limit: ConcurrencyLimit::None,
            retries: RetryPolicy::Never,
        };
        for option in parts {
            match option {
                "outlier" => config.ejects_outliers = true,
                "aimd" => config.limit = ConcurrencyLimit::Aimd,
                "gradient" => config.limit = ConcurrencyLimit::Gradient,
                "retries" => config.retries = RetryPolicy::Fixed,
                "budget" => config.retries = RetryPolicy::Budget,
                _ => {
                    return Err(PolicyError::UnknownAddition(option.to_owned()));
                }
            }
        }
        Ok(config)
    }
}
