//! Callers: their load, and their retries.

use super::ScenarioError;
use super::error::{CheckResult, inconsistent};
use super::one;
use crate::units::Span;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A group of callers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CallerGroup {
    /// Name in reports; unique in a scenario.
    pub name: String,
    /// Share of each class in the group's calls.
    pub classes: BTreeMap<String, f64>,
    /// Tenant of the group, if the scenario has tenants.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Arrival process of the calls.
    pub load: Load,
    /// Retries of calls that were refused or failed.
    #[serde(default)]
    #[serde(rename = "again")]
    pub retries: CallerRetries,
    /// Fraction of the refusals whose retry-after advice is followed.
    #[serde(default = "one")]
    #[serde(rename = "heeds-advice")]
    pub honors_retry_after: f64,
    /// Zone of the callers; all zones by default.
    #[serde(default)]
    pub zone: Option<String>,
}

/// Arrival process: a rate of random arrivals, or a fixed number of closed-loop callers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Load {
    /// Constant rate, in calls per second.
    Constant(f64),
    /// Piecewise linear rate, given by points of time and calls per second.
    Curve(Vec<(Span, f64)>),
    /// Sinusoidal rate over a period that stands for a day.
    Daily {
        /// Mean rate, in calls per second.
        mean: f64,
        /// Relative amplitude of the rate.
        swing: f64,
        /// Length of the period.
        period: Span,
    },
    /// Closed loop: each caller calls again some time after it has its answer.
    Closed {
        /// Number of callers.
        callers: u32,
        /// Mean think time between an answer and the next call.
        think: Span,
    },
}

impl Load {
    /// Rate in calls per second at a time in nanoseconds since the start of the run; 0 for a closed loop.
    pub fn rate(&self, time: u64) -> f64 {
        match self {
            Self::Constant(rate) => *rate,
            Self::Curve(points) => {
                let after = points.partition_point(|(point_time, _)| point_time.0 <= time);
                match (
                    after.checked_sub(1).and_then(|before| points.get(before)),
                    points.get(after),
                ) {
                    (Some((from, start_rate)), Some((to, end_rate))) => {
                        let fraction = (time - from.0) as f64 / (to.0 - from.0).max(1) as f64;
                        start_rate + (end_rate - start_rate) * fraction
                    }
                    (Some((_, rate)), None) | (None, Some((_, rate))) => *rate,
                    (None, None) => 0.0,
                }
            }
            Self::Daily {
                mean,
                swing,
                period,
            } => {
                let phase = time as f64 / period.0.max(1) as f64;
                mean * (1.0 - swing * (phase * std::f64::consts::TAU).cos())
            }
            Self::Closed { .. } => 0.0,
        }
    }

    /// Highest rate, in calls per second.
    pub fn max_rate(&self) -> f64 {
        match self {
            Self::Constant(rate) => *rate,
            Self::Curve(points) => points.iter().map(|(_, rate)| *rate).fold(0.0, f64::max),
            Self::Daily { mean, swing, .. } => mean * (1.0 + swing),
            Self::Closed { .. } => 0.0,
        }
    }

    pub(super) fn check(&self) -> CheckResult {
        let rates: Vec<f64> = match self {
            Self::Constant(rate) => vec![*rate],
            Self::Curve(points) => {
                if points.is_empty() || points.windows(2).any(|pair| pair[0].0 >= pair[1].0) {
                    return inconsistent("`curve` needs points whose times rise");
                }
                points.iter().map(|(_, rate)| *rate).collect()
            }
            Self::Daily {
                mean,
                swing,
                period,
            } => {
                if !(0.0..=1.0).contains(swing) || period.0 == 0 {
                    return inconsistent("`daily` needs a swing from 0 to 1 and a period");
                }
                vec![*mean]
            }
            Self::Closed { callers, .. } if *callers > 1_000_000 => {
                return Err(ScenarioError::TooManyCallers(*callers));
            }
            Self::Closed { .. } => vec![],
        };
        match rates
            .iter()
            .find(|rate| !(rate.is_finite() && **rate >= 0.0))
        {
            Some(rate) => Err(ScenarioError::Distribution {
                name: "a rate",
                number: *rate,
                fault: "not a number from 0 on",
            }),
            None => Ok(()),
        }
    }
}

/// Retries by callers, within the deadline and only for requests that may be repeated.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum CallerRetries {
    /// No retries.
    #[default]
    Never,
    /// Retry without delay.
    #[serde(rename = "at-once")]
    Immediate {
        /// Maximum number of sends, the first one included.
        most: u32,
    },
    /// Retry after a fixed delay.
    #[serde(rename = "after")]
    FixedDelay {
        /// Delay before each retry.
        wait: Span,
        /// Maximum number of sends, the first one included.
        most: u32,
    },
    /// Exponential backoff: the longest delay doubles each time, and each delay is drawn from the upper half of its
    /// range.
    Backoff {
        /// First delay.
        first: Span,
        /// Longest delay.
        cap: Span,
        /// Maximum number of sends, the first one included.
        most: u32,
    },
}

impl CallerRetries {
    /// Delay before the next retry after a number of sends, in nanoseconds; `None` if there is no retry. `draw`
    /// returns a number from 0 to 1.
    pub fn delay(&self, sends: u32, draw: impl FnOnce() -> f64) -> Option<u64> {
        match *self {
            Self::Never => None,
            Self::Immediate { most } => (sends < most).then_some(0),
            Self::FixedDelay { wait, most } => (sends < most).then_some(wait.0),
            Self::Backoff { first, cap, most } => (sends < most).then(|| {
                let delay = first
                    .0
                    .saturating_mul(1 << sends.saturating_sub(1).min(20))
                    .min(cap.0);
                delay / 2 + (draw() * (delay / 2) as f64) as u64
            }),
        }
    }
}

/// Selects a position in proportion to the shares, by a number from 0 to 1. `mix` has pairs of share and position.
pub fn by_weight(mix: &[(f64, usize)], draw: f64) -> Option<usize> {
    let mut remaining_share = draw * mix.iter().map(|(share, _)| share).sum::<f64>();
    let drawn = mix.iter().find(|(share, _)| {
        remaining_share -= share;
        remaining_share < 0.0
    });
    // Rounding may leave a remainder after the last entry.
    drawn.or(mix.last()).map(|(_, position)| *position)
}
