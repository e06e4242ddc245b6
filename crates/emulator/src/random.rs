//! Random numbers: one stream for each actor, all derived from one seed.
//!
//! The generator is ChaCha with 8 rounds (`rand_chacha`), whose output is fixed by its specification. The
//! actor's kind and number select the stream, so that an additional actor does not change the draws of the
//! others.

use crate::units::Span;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, StandardNormal};
use serde::{Deserialize, Serialize};
use woadstall_engine::Time;

/// Users of random streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Actor {
    /// Arrivals of a group of callers.
    Arrivals,
    /// Behavior of a group of callers apart from arrivals, such as classes and retries.
    CallerBehavior,
    /// An upstream.
    Upstream,
    /// Seeds and clock of a balancer.
    Balancer,
    /// Network between a balancer and the upstreams.
    Network,
    /// Delays of registry updates to a balancer.
    Registry,
    /// Targets of a fault.
    Fault,
    /// The front.
    Front,
    /// Membership node of a balancer.
    Member,
}

/// Random stream of one actor.
pub fn stream(seed: u64, actor: Actor, number: u32) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream((actor as u64) << 32 | u64::from(number));
    rng
}

/// Distribution of a duration.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Dist {
    /// Always the same duration.
    Constant(Span),
    /// Exponential distribution with this mean.
    Exponential(Span),
    /// Lognormal distribution.
    Lognormal {
        /// Mean duration.
        mean: Span,
        /// Coefficient of variation: standard deviation divided by the mean.
        cv: f64,
    },
    /// Pareto distribution.
    Pareto {
        /// Mean duration.
        mean: Span,
        /// Shape parameter, greater than 1.
        shape: f64,
    },
    /// Drawn uniformly from measured durations.
    Measured(Vec<Span>),
}

impl Dist {
    /// Mean of the distribution, in nanoseconds.
    pub fn mean(&self) -> f64 {
        match self {
            Self::Constant(mean) | Self::Exponential(mean) => mean.0 as f64,
            Self::Lognormal { mean, .. } | Self::Pareto { mean, .. } => mean.0 as f64,
            Self::Measured(values) => {
                values.iter().map(|value| value.0 as f64).sum::<f64>() / values.len().max(1) as f64
            }
        }
    }

    /// Draws a duration, in nanoseconds.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> f64 {
        match self {
            Self::Constant(value) => value.0 as f64,
            Self::Exponential(mean) => mean.0 as f64 * Distribution::<f64>::sample(&Exp1, rng),
            Self::Lognormal { mean, cv } => {
                let variance = (1.0 + cv * cv).ln();
                let normal: f64 = StandardNormal.sample(rng);
                mean.0 as f64 * (variance.sqrt() * normal - variance / 2.0).exp()
            }
            Self::Pareto { mean, shape } => {
                let minimum = mean.0 as f64 * (shape - 1.0) / shape;
                minimum * (1.0 - rng.random::<f64>()).powf(-1.0 / shape)
            }
            Self::Measured(values) => values[rng.random_range(..values.len())].0 as f64,
        }
    }
}

/// Draws the time until the next event of a Poisson process with `rate` events per second.
pub fn exponential_gap(rng: &mut ChaCha8Rng, rate: f64) -> Time {
    let gap: f64 = Exp1.sample(rng);
    (gap / rate * 1e9).min(1e18) as Time
}

/// Draws `true` with a probability.
pub fn chance(rng: &mut ChaCha8Rng, probability: f64) -> bool {
    probability > 0.0 && rng.random::<f64>() < probability
}

/// Draws a fraction of the given numbers without replacement, and returns the drawn ones in ascending order.
pub fn sample(rng: &mut ChaCha8Rng, from: &[u32], fraction: f64) -> Vec<u32> {
    let count = ((fraction * from.len() as f64).round() as usize).min(from.len());
    let mut drawn = from.to_vec();
    for index in 0..count {
        let other = rng.random_range(index..drawn.len());
        drawn.swap(index, other);
    }
    drawn.truncate(count);
    drawn.sort_unstable();
    drawn
}
