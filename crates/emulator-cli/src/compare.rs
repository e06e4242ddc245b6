//! Two sides compared, paired by scenario and seed: the mean difference with a bootstrap interval.

use crate::grid::Set;
use crate::rows::Row;
use clap::ValueEnum;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeMap;

/// Resamples of the bootstrap.
const RESAMPLES: usize = 10_000;

/// What is compared.
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
    /// The figure of a result.
    pub fn of(self, row: &Row) -> f64 {
        let end = &row.end;
        match self {
            Self::Score => end.score,
            Self::Served => end.served,
            Self::P99 => end.latency.p99,
            Self::Attempts => end.counts.attempts as f64 / end.counts.requests.max(1) as f64,
            Self::Broken => end.broken() as f64,
        }
    }
}

/// One side against the other in one scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// The scenario.
    pub scenario: String,
    /// Keys that were set.
    pub set: Set,
    /// Pairs of runs of one seed.
    pub pairs: usize,
    /// The left side's mean.
    pub left: f64,
    /// The right side's mean.
    pub right: f64,
    /// Right less left, and where 95 in a hundred resamples lie.
    pub difference: f64,
    /// The interval of it that chance leaves at 95%.
    pub interval: (f64, f64),
}

impl Difference {
    /// Whether chance hardly makes such a difference.
    pub fn is_sure(&self) -> bool {
        self.interval.0 > 0.0 || self.interval.1 < 0.0
    }
}

/// Pairs the rows of two sides. A row without its pair on the other side is an error: chance of the seeds would
/// come into the difference.
pub fn compare(left: &[&Row], right: &[&Row], figure: Figure) -> Result<Vec<Difference>, String> {
    type Place<'a> = (&'a str, &'a Set);
    fn place(row: &Row) -> Place<'_> {
        (row.key.scenario.as_str(), &row.key.set)
    }
    /// The rows of both sides for each seed.
    type Pairs<'a> = BTreeMap<u64, (Option<&'a Row>, Option<&'a Row>)>;
    let mut pairs: BTreeMap<Place<'_>, Pairs<'_>> = BTreeMap::new();
    for (rows, is_left) in [(left, true), (right, false)] {
        for row in rows {
            let pair = pairs
                .entry(place(row))
                .or_default()
                .entry(row.key.seed)
                .or_default();
            let side = if is_left { &mut pair.0 } else { &mut pair.1 };
            if side.replace(row).is_some() {
                let (scenario, _) = place(row);
                return Err(format!(
                    "{scenario}, seed {}: there twice on one side",
                    row.key.seed
                ));
            }
        }
    }
    let mut differences = Vec::new();
    for ((scenario, set), seeds) in pairs {
        let (mut sides, mut deltas) = ((0.0, 0.0), Vec::new());
        for (seed, pair) in &seeds {
            let (Some(left), Some(right)) = pair else {
                return Err(format!("{scenario}, seed {seed}: on one side only"));
            };
            if left.key.digest != right.key.digest {
                return Err(format!(
                    "{scenario}: the two sides ran different scenarios of this name"
                ));
            }
            let (left, right) = (figure.of(left), figure.of(right));
            sides = (sides.0 + left, sides.1 + right);
            deltas.push(right - left);
        }
        let count = deltas.len() as f64;
        differences.push(Difference {
            scenario: scenario.to_owned(),
            set: set.clone(),
            pairs: deltas.len(),
            left: sides.0 / count,
            right: sides.1 / count,
            difference: deltas.iter().sum::<f64>() / count,
            interval: interval(&deltas),
        });
    }
    match differences.is_empty() {
        true => Err("nothing to compare".to_owned()),
        false => Ok(differences),
    }
}

/// Where 95 in a hundred means of resamples lie (percentile bootstrap; Efron and Tibshirani, 1993). Always the
/// same for the same values.
pub fn interval(values: &[f64]) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(95);
    let count = values.len();
    let mean = |_| {
        (0..count)
            .map(|_| values[rng.random_range(..count)])
            .sum::<f64>()
            / count as f64
    };
    let mut means: Vec<f64> = (0..RESAMPLES).map(mean).collect();
    means.sort_by(f64::total_cmp);
    (means[RESAMPLES / 40], means[RESAMPLES - 1 - RESAMPLES / 40])
}

#[cfg(test)]
mod tests;
