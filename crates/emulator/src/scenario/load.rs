//! Callers: how they come, and what they do where they get no answer.

use super::ScenarioError;
use super::error::{Check, inconsistent};
use super::one;
use crate::units::Span;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A group of callers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CallerGroup {
    /// Its name.
    pub name: String,
    /// Its classes, with the share of each.
    pub classes: BTreeMap<String, f64>,
    /// Its tenant, if there are tenants.
    #[serde(default)]
    pub tenant: Option<String>,
    /// How they come.
    pub load: Load,
    /// What they do where they get no answer.
    #[serde(default)]
    #[serde(rename = "again")]
    pub retries: CallerRetries,
    /// Part of them that waits as long as a refusal advises.
    #[serde(default = "one")]
    #[serde(rename = "heeds-advice")]
    pub honors_retry_after: f64,
    /// The zone they are in; in all, if it is left out.
    #[serde(default)]
    pub zone: Option<String>,
}

/// How callers come: so many a second, at random, or a fixed crowd.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Load {
    /// Always as many a second.
    Constant(f64),
    /// As many a second as on a line through points, each a time and a rate.
    Curve(Vec<(Span, f64)>),
    /// A day pressed into a period: so many a second on average, by so much part up and down.
    Daily {
        /// The mean.
        mean: f64,
        /// Part of the mean that it goes up and down by.
        swing: f64,
        /// The length of a day.
        period: Span,
    },
    /// A crowd that calls again once it has had its answer.
    Closed {
        /// Its size.
        callers: u32,
        /// Mean time between an answer and the next call.
        think: Span,
    },
}

impl Load {
    /// Calls a second at a time; none for a closed group.
    pub fn rate(&self, at: u64) -> f64 {
        match self {
            Self::Constant(rate) => *rate,
            Self::Curve(points) => {
                let after = points.partition_point(|(time, _)| time.0 <= at);
                match (
                    after.checked_sub(1).and_then(|at| points.get(at)),
                    points.get(after),
                ) {
                    (Some((from, low)), Some((to, high))) => {
                        let part = (at - from.0) as f64 / (to.0 - from.0).max(1) as f64;
                        low + (high - low) * part
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
                let part = at as f64 / period.0.max(1) as f64;
                mean * (1.0 - swing * (part * std::f64::consts::TAU).cos())
            }
            Self::Closed { .. } => 0.0,
        }
    }

    /// The highest rate.
    pub fn max_rate(&self) -> f64 {
        match self {
            Self::Constant(rate) => *rate,
            Self::Curve(points) => points.iter().map(|(_, rate)| *rate).fold(0.0, f64::max),
            Self::Daily { mean, swing, .. } => mean * (1.0 + swing),
            Self::Closed { .. } => 0.0,
        }
    }

    pub(super) fn check(&self) -> Check {
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

/// What callers do where they get no answer: within their time, and only where they may.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum CallerRetries {
    /// They leave it at that.
    #[default]
    Never,
    /// They ask again at once.
    #[serde(rename = "at-once")]
    Immediate {
        /// Most tries in all.
        most: u32,
    },
    /// They ask again after a while.
    #[serde(rename = "after")]
    FixedDelay {
        /// How long.
        wait: Span,
        /// Most tries in all.
        most: u32,
    },
    /// They wait twice as long each time, anywhere in the second half of it.
    Backoff {
        /// The first wait.
        first: Span,
        /// No wait is longer.
        cap: Span,
        /// Most tries in all.
        most: u32,
    },
}

impl CallerRetries {
    /// How long a caller waits before it asks again after so many tries; `None` if it does not. `draw` gives a
    /// number from 0 to 1.
    pub fn delay(&self, tries: u32, draw: impl FnOnce() -> f64) -> Option<u64> {
        match *self {
            Self::Never => None,
            Self::Immediate { most } => (tries < most).then_some(0),
            Self::FixedDelay { wait, most } => (tries < most).then_some(wait.0),
            Self::Backoff { first, cap, most } => (tries < most).then(|| {
                let wait = first
                    .0
                    .saturating_mul(1 << tries.saturating_sub(1).min(20))
                    .min(cap.0);
                wait / 2 + (draw() * (wait / 2) as f64) as u64
            }),
        }
    }
}

/// One of some that have shares, by a number from 0 to 1.
pub fn by_weight(mix: &[(f64, usize)], draw: f64) -> Option<usize> {
    let mut left = draw * mix.iter().map(|(share, _)| share).sum::<f64>();
    let drawn = mix.iter().find(|(share, _)| {
        left -= share;
        left < 0.0
    });
    drawn.or(mix.last()).map(|(_, one)| *one)
}
