//! A failing scenario is shrunk to the steps that the failure needs.

use super::{Scenario, ScenarioError, Step};
use crate::cluster::Cluster;
use std::fmt;
use thiserror::Error;

/// A scenario that fails, with few steps.
#[derive(Clone, Debug, Error)]
pub struct FailedScenario {
    /// The seed that it was generated from.
    pub seed: u64,
    /// The steps that it needs.
    pub steps: Vec<Step>,
    /// Why all of its steps fail.
    #[source]
    pub error: ScenarioError,
}

impl fmt::Display for FailedScenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, steps, error } = self;
        write!(
            formatter,
            "seed {seed}: {error}\nit needs these {} steps:",
            steps.len()
        )?;
        for step in steps {
            write!(formatter, "\n  {step:?}")?;
        }
        Ok(())
    }
}

impl Scenario {
    /// Runs the scenario, and shrinks it if it fails.
    ///
    /// # Errors
    ///
    /// If it fails, with the steps that the failure needs.
    pub fn run_and_shrink(&self) -> Result<Cluster, FailedScenario> {
        self.run().map_err(|error| {
            let steps = self.shrink().steps;
            FailedScenario {
                seed: self.seed,
                steps,
                error,
            }
        })
    }

    /// Leaves out all stretches of steps without which the scenario fails as well: first halves,
    /// then ever shorter ones, down to single steps.
    pub fn shrink(&self) -> Self {
        let mut needed = self.clone();
        let mut length = needed.steps.len().div_ceil(2);
        while length > 0 {
            needed.remove_stretches(length);
            length /= 2;
        }
        needed
    }

    /// Leaves out each stretch of a length without which the scenario fails as well.
    fn remove_stretches(&mut self, length: usize) {
        let mut start = 0;
        while start < self.steps.len() {
            let end = self.steps.len().min(start + length);
            let steps = [&self.steps[..start], &self.steps[end..]].concat();
            let shorter = Self {
                seed: self.seed,
                environment: self.environment,
                steps,
            };
            if shorter.run().is_err() {
                *self = shorter;
            } else {
                start += length;
            }
        }
    }
}
