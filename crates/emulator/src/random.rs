//! Random numbers: one stream for each actor, all from one seed.
//!
//! The generator is ChaCha with 8 rounds (`rand_chacha`), whose output is fixed by its specification; the actor's
//! kind and number choose the stream of it. So an actor more or less does not change what the others draw.

use crate::units::Span;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, StandardNormal};
use serde::{Deserialize, Serialize};
use woadstall_engine::Time;

/// Who draws.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Actor {
    /// Arrivals of a group of callers.
    Arrivals,
    /// What a group of callers does beside arriving.
    CallerBehavior,
    /// An upstream.
    Upstream,
    /// What a balancer's own seed comes from.
    Balancer,
    /// The network from a balancer.
    Network,
    /// Updates from the registry to a balancer.
    Registry,
    /// A fault in the script.
    Fault,
    /// The front.
    Front,
    /// A balancer as a member among the others.
    Member,
}

/// The stream of one actor.
pub fn stream(seed: u64, actor: Actor, number: u32) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream((actor as u64) << 32 | u64::from(number));
    rng
}

/// How long something takes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Dist {
    /// Always the same.
    Constant(Span),
    /// Exponential, with this mean.
    Exponential(Span),
    /// Lognormal, with its mean and its coefficient of variation.
    Lognormal {
        /// The mean.
        mean: Span,
        /// Standard deviation over mean.
        cv: f64,
    },
    /// Pareto, with its mean and shape (over 1).
    Pareto {
        /// The mean.
        mean: Span,
        /// The shape.
        shape: f64,
    },
    /// Drawn from measured values, each as likely.
    Measured(Vec<Span>),
}

impl Dist {
    /// The mean, in nanoseconds.
    pub fn mean(&self) -> f64 {
        match self {
            Self::Constant(mean) | Self::Exponential(mean) => mean.0 as f64,
            Self::Lognormal { mean, .. } | Self::Pareto { mean, .. } => mean.0 as f64,
            Self::Measured(values) => {
                values.iter().map(|value| value.0 as f64).sum::<f64>() / values.len().max(1) as f64
            }
        }
    }

    /// One value, in nanoseconds.
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
                let least = mean.0 as f64 * (shape - 1.0) / shape;
                least * (1.0 - rng.random::<f64>()).powf(-1.0 / shape)
            }
            Self::Measured(values) => values[rng.random_range(..values.len())].0 as f64,
        }
    }
}

/// A time until the next of events that come at random, so many a second.
pub fn exponential_gap(rng: &mut ChaCha8Rng, rate: f64) -> Time {
    let gap: f64 = Exp1.sample(rng);
    (gap / rate * 1e9).min(1e18) as Time
}

/// True with a chance.
pub fn chance(rng: &mut ChaCha8Rng, part: f64) -> bool {
    part > 0.0 && rng.random::<f64>() < part
}

/// Part of some that are drawn without repetition, in the order of their numbers.
pub fn sample(rng: &mut ChaCha8Rng, from: &[u32], part: f64) -> Vec<u32> {
    let count = ((part * from.len() as f64).round() as usize).min(from.len());
    let mut left = from.to_vec();
    for at in 0..count {
        let other = rng.random_range(at..left.len());
        left.swap(at, other);
    }
    left.truncate(count);
    left.sort_unstable();
    left
}
