//! Shrinks a failing scenario to the steps that reproduce the failure.

use super::{Scenario, ScenarioError, Step};
use crate::cluster::Cluster;
use std::fmt;
use thiserror::Error;

/// A failing scenario, shrunk to the steps that reproduce a failure.
#[derive(Clone, Debug, Error)]
pub struct FailedScenario {
    /// Seed of the scenario.
    pub seed: u64,
    /// Steps that remain after shrinking.
    pub steps: Vec<Step>,
    /// Failure of the complete scenario, before shrinking.
    #[source]
    pub error: ScenarioError,
}

impl fmt::Display for FailedScenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, steps, error } = self;
        write!(
            formatter,
            "seed {seed}: {error}\n{} steps remain after shrinking:",
            steps.len()
        )?;
        for step in steps {
            write!(formatter, "\n  {step:?}")?;
        }
        Ok(())
    }
}

impl Scenario {
    /// Runs the scenario and shrinks it if it fails.
    ///
    /// # Errors
    ///
    /// If the scenario fails, with the steps that reproduce a failure.
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

    /// Removes ranges of consecutive steps as long as the scenario still fails. The length of the
    /// ranges starts at half of the steps and is halved down to single steps.
    pub fn shrink(&self) -> Self {
        let mut remaining = self.clone();
        let mut length = remaining.steps.len().div_ceil(2);
        while length > 0 {
            remaining.remove_ranges(length);
            length /= 2;
        }
        remaining
    }

    /// Removes each range of `length` steps without which the scenario still fails.
    fn remove_ranges(&mut self, length: usize) {
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
