//! The runs of an experiment: scenarios, with keys set to other values, policies and seeds.

use crate::scenario_file::ScenarioFileError;
use serde::{Deserialize, Serialize};
use woadstall_emulator::{Policy, Scenario};

pub use crate::arguments::{parse_pair, parse_seeds};
pub use crate::scenario_file::{Overrides, ScenarioFile};

/// One run.
#[derive(Clone)]
pub struct Job {
    /// What is played.
    pub scenario: Scenario,
    /// As in its key.
    pub digest: String,
    /// What was set in it.
    pub set: Overrides,
    /// Who decides.
    pub policy: Policy,
    /// Of all random numbers.
    pub seed: u64,
}

/// What tells runs apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
pub struct RunKey {
    /// The scenario's name.
    pub scenario: String,
    /// Of the scenario with what is set: 16 digits of its SHA-256.
    pub digest: String,
    /// What was set in it.
    pub set: Overrides,
    /// Who decided.
    pub policy: String,
    /// Of all random numbers.
    pub seed: u64,
}

impl Job {
    /// What tells its row from others.
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

/// All combinations of what varies, in the order in which it is given; the last varies fastest.
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

/// All runs of a sweep: scenarios, then sets, then policies, then seeds; the last varies fastest.
///
/// # Errors
///
/// As [`ScenarioFile::with`], of the first scenario at fault.
pub fn jobs(
    sources: &[ScenarioFile],
    sets: &[Overrides],
    policies: &[Policy],
    seeds: &[u64],
) -> Result<Vec<Job>, ScenarioFileError> {
    let mut jobs = Vec::new();
    for source in sources {
        for set in sets {
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
