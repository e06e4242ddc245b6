//! Comparison of two sets of rows, paired by scenario and seed: the mean difference with a bootstrap confidence
//! interval.

use crate::rows::Row;
use crate::scenario_file::Overrides;
use clap::ValueEnum;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeMap;

/// Number of bootstrap resamples.
const RESAMPLES: usize = 10_000;

/// Number of resamples beyond each end of the 95% interval: 2.5% of all resamples.
const TAIL: usize = RESAMPLES / 40;

/// Seed of the random numbers that draw the resamples.
const BOOTSTRAP_SEED: u64 = 95;

/// The figure of a run that is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Figure {
    /// Worth served over what the fluid bound allows.
    Score,
    /// Worth served over worth offered.
    Served,
    /// 99th percentile of the latency, in milliseconds.
    P99,
    /// Attempts for each request.
    Attempts,
    /// Breaches of rules.
    Broken,
}

impl Figure {
    /// Returns the figure of a row.
    pub fn of(self, row: &Row) -> f64 {
        let end = &row.end;
        match self {
            Self::Score => end.score,
            Self::Served => end.served_value_fraction,
            Self::P99 => end.latency.p99,
            Self::Attempts => end.counts.attempts as f64 / end.counts.requests.max(1) as f64,
            Self::Broken => end.breach_count() as f64,
        }
    }
}

/// The difference between the two sides in one scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Name of the scenario.
    pub scenario: String,
    /// Overrides of the scenario's keys.
    pub set: Overrides,
    /// Number of pairs; the two runs of a pair have the same seed.
    pub pairs: usize,
    /// Mean figure of the left side.
    pub left: f64,
    /// Mean figure of the right side.
    pub right: f64,
    /// Mean of the right side minus mean of the left side.
    pub difference: f64,
    /// The 95% bootstrap confidence interval of the difference.
    pub interval: (f64, f64),
}

impl Difference {
    /// Returns whether the 95% confidence interval excludes zero.
    pub fn is_significant(&self) -> bool {
        let (low, high) = self.interval;
        low > 0.0 || high < 0.0
    }
}

/// The reason why two sets of rows could not be compared.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CompareError {
    /// One side has two rows for the same scenario and seed.
    #[error("{scenario}, seed {seed}: there twice on one side")]
    Duplicate {
        /// Name of the scenario.
        scenario: String,
        /// Seed of the row.
        seed: u64,
    },
    /// A row has no counterpart with the same seed. Comparing unpaired rows would add the variance between seeds to the
    /// difference.
    #[error("{scenario}, seed {seed}: on one side only")]
    Unpaired {
        /// Name of the scenario.
        scenario: String,
        /// Seed of the row.
        seed: u64,
    },
    /// The two rows of a pair have different scenario digests.
    #[error("{scenario}: the two sides ran different scenarios of this name")]
    DifferentScenarios {
        /// Name of the scenario.
        scenario: String,
    },
    /// Neither side has rows.
    #[error("nothing to compare")]
    Empty,
}

/// Name and overrides of a scenario.
type ScenarioKey<'a> = (&'a str, &'a Overrides);

/// The rows of both sides for one seed.
#[derive(Default)]
struct Pair<'a> {
    left: Option<&'a Row>,
    right: Option<&'a Row>,
}

/// The pairs of each scenario, keyed by seed.
type Pairs<'a> = BTreeMap<ScenarioKey<'a>, BTreeMap<u64, Pair<'a>>>;

/// Compares two sets of rows for each scenario, with the rows paired by seed.
///
/// # Errors
///
/// Returns a [`CompareError`] if a row has no counterpart, has a duplicate, or is paired with a row of a different
/// scenario.
pub fn compare(
    left: &[&Row],
    right: &[&Row],
    figure: Figure,
) -> Result<Vec<Difference>, CompareError> {
    let mut pairs = Pairs::new();
    add_side(&mut pairs, left, |pair| &mut pair.left)?;
    add_side(&mut pairs, right, |pair| &mut pair.right)?;
    if pairs.is_empty() {
        return Err(CompareError::Empty);
    }
    pairs
        .into_iter()
        .map(|(scenario, seeds)| difference(scenario, &seeds, figure))
        .collect()
}

fn add_side<'a>(
    pairs: &mut Pairs<'a>,
    rows: &[&'a Row],
    side: impl for<'p> Fn(&'p mut Pair<'a>) -> &'p mut Option<&'a Row>,
) -> Result<(), CompareError> {
    for row in rows {
        let key = (row.key.scenario.as_str(), &row.key.set);
        let seeds = pairs.entry(key).or_default();
        let pair = seeds.entry(row.key.seed).or_default();
        if side(pair).replace(row).is_some() {
            return Err(CompareError::Duplicate {
                scenario: row.key.scenario.clone(),
                seed: row.key.seed,
            });
        }
    }
    Ok(())
}

/// Computes the mean difference over all seeds of one scenario.
fn difference(
    (scenario, set): ScenarioKey<'_>,
    seeds: &BTreeMap<u64, Pair<'_>>,
    figure: Figure,
) -> Result<Difference, CompareError> {
    let (mut left_sum, mut right_sum, mut deltas) = (0.0, 0.0, Vec::new());
    for (&seed, pair) in seeds {
        let (Some(left), Some(right)) = (pair.left, pair.right) else {
            let scenario = scenario.to_owned();
            return Err(CompareError::Unpaired { scenario, seed });
        };
        if left.key.digest != right.key.digest {
            let scenario = scenario.to_owned();
            return Err(CompareError::DifferentScenarios { scenario });
        }
        let (left, right) = (figure.of(left), figure.of(right));
        left_sum += left;
        right_sum += right;
        deltas.push(right - left);
    }
    let count = deltas.len() as f64;
    Ok(Difference {
        scenario: scenario.to_owned(),
        set: set.clone(),
        pairs: deltas.len(),
        left: left_sum / count,
        right: right_sum / count,
        difference: deltas.iter().sum::<f64>() / count,
        interval: interval(&deltas),
    })
}

/// Returns the 95% confidence interval of the mean (percentile bootstrap; Efron and Tibshirani, 1993). The resamples
/// are drawn with a fixed seed, so that equal values give equal intervals.
pub fn interval(values: &[f64]) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(BOOTSTRAP_SEED);
    let count = values.len();
    let mean = |_| {
        (0..count)
            .map(|_| values[rng.random_range(..count)])
            .sum::<f64>()
            / count as f64
    };
    let mut means: Vec<f64> = (0..RESAMPLES).map(mean).collect();
    means.sort_by(f64::total_cmp);
    (means[TAIL], means[RESAMPLES - 1 - TAIL])
}

#[cfg(test)]
mod tests;
