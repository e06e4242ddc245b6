//! The runs of an experiment: combinations of scenarios, overrides, policies and seeds.

use crate::scenario_file::ScenarioFileError;
use serde::{Deserialize, Serialize};
use woadstall_emulator::{Policy, Scenario};

pub use crate::arguments::{parse_pair, parse_seeds};
pub use crate::scenario_file::{Overrides, ScenarioFile};

/// One run of an experiment.
#[derive(Clone)]
pub struct Job {
    /// The scenario, with overrides applied.
    pub scenario: Scenario,
    /// Digest of the scenario, as in [`RunKey::digest`].
    pub digest: String,
    /// The overrides of the scenario's keys.
    pub set: Overrides,
    /// The policy that makes the load-balancing decisions.
    pub policy: Policy,
    /// Seed of all random numbers of the run.
    pub seed: u64,
}

/// The key that identifies a run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
pub struct RunKey {
    /// The scenario's name.
    pub scenario: String,
    /// Digest of the scenario with its overrides: the first 16 hexadecimal digits of the SHA-256 hash.
    pub digest: String,
    /// The overrides of the scenario's keys.
    pub set: Overrides,
    /// Name of the policy that made the load-balancing decisions.
    pub policy: String,
    /// Seed of all random numbers of the run.
    pub seed: u64,
}

impl Job {
    /// Returns the key that identifies the row of this job.
    pub fn key(&self) -> RunKey {
        RunKey {
            scenario: self.scenario.name.clone(),
            digest: self.digest.clone(),
            set: self.set.clone(),
            policy: self.policy.to_string(),
            seed: self.seed,
        }
    }
}

/// Returns `fixed` with all combinations of the varied values, which are separated by commas. The order follows the
/// arguments; the last key varies fastest.
pub fn combinations(fixed: &Overrides, varied: &[(String, String)]) -> Vec<Overrides> {
    let mut sets = vec![fixed.clone()];
    for (key, values) in varied {
        let with = |set: &Overrides, value: &str| {
            let mut set = set.clone();
            set.insert(key.clone(), value.trim().to_owned());
            set
        };
        sets = sets
            .iter()
            .flat_map(|set| values.split(',').map(|value| with(set, value)))
            .collect();
    }
    sets
}

/// Returns all runs of a sweep, ordered by scenario, overrides, policy and seed; the seed varies fastest.
///
/// # Errors
///
/// Returns the error of [`ScenarioFile::with`] for the first invalid combination of scenario and overrides.
pub fn jobs(
    sources: &[ScenarioFile],
    override_sets: &[Overrides],
    policies: &[Policy],
    seeds: &[u64],
) -> Result<Vec<Job>, ScenarioFileError> {
    let mut jobs = Vec::new();
    for source in sources {
        for set in override_sets {
            let (scenario, digest) = source.with(set)?;
            for &policy in policies {
                jobs.extend(seeds.iter().map(|&seed| Job {
                    scenario: scenario.clone(),
                    digest: digest.clone(),
                    set: set.clone(),
                    policy,
                    seed,
                }));
            }
        }
    }
    Ok(jobs)
}

#[cfg(test)]
mod tests;
