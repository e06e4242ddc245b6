//! Policies that decide in the balancers of a run.

use crate::agent::BoxedAgent;
use crate::baseline::{BaselineConfig, BaselinePolicy, PolicyError};
use std::fmt;
use std::str::FromStr;
use woadstall_engine::{Engine, Settings, Time};

/// Policy of all balancers of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The real engine with the real routing module.
    Woadstall,
    /// A baseline policy.
    Baseline(BaselineConfig),
}

impl Policy {
    /// Creates an agent that knows no upstream yet. The settings must have been checked.
    pub fn agent(self, settings: Settings, seed: u64, now: Time) -> BoxedAgent {
        match self {
            Self::Woadstall => match Engine::new(settings, seed, now) {
                Ok(engine) => Box::new(engine),
                Err(error) => unreachable!("settings were checked with the scenario: {error}"),
            },
            Self::Baseline(config) => Box::new(BaselinePolicy::new(config, settings, seed)),
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Woadstall => f.write_str("woadstall"),
            Self::Baseline(config) => config.fmt(f),
        }
    }
}

impl FromStr for Policy {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        match text {
            "woadstall" => Ok(Self::Woadstall),
            name => name.parse().map(Self::Baseline),
        }
    }
}
