//! What can be wrong with a scenario, and where in it.

use std::fmt;

/// A part of a scenario that an error lies in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScenarioPart {
    /// A class of requests, by its name.
    Class(String),
    /// A tenant, by its name.
    Tenant(String),
    /// A tier, by its name.
    Tier(String),
    /// A group of callers, by its name.
    Callers(String),
    /// A fault, by its position in the list from 1 on.
    Fault(usize),
    /// A bound, by its name.
    Bound(String),
    /// A key of what surrounds it.
    Key(&'static str),
}

impl fmt::Display for ScenarioPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Class(name) => write!(f, "class {name}"),
            Self::Tenant(name) => write!(f, "tenant {name}"),
            Self::Tier(name) => write!(f, "tier {name}"),
            Self::Callers(name) => write!(f, "callers {name}"),
            Self::Fault(number) => write!(f, "fault {number}"),
            Self::Bound(name) => write!(f, "bound {name}"),
            Self::Key(key) => write!(f, "`{key}`"),
        }
    }
}

/// What is wrong with a scenario.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not TOML, or not of a scenario's form; the message names the line and the key.
    #[error("{0}")]
    Syntax(Box<toml::de::Error>),
    /// Something is wrong in a part of the scenario.
    #[error("{part}: {source}")]
    In {
        /// The part.
        part: ScenarioPart,
        /// What is wrong in it.
        source: Box<ScenarioError>,
    },
    /// A number lies outside its range, or is none.
    #[error("`{key}` is {number}, not from {least} to {most}")]
    OutOfRange {
        /// The key, or the name that a share is of.
        key: String,
        /// The number that was given.
        number: f64,
        /// The least that is taken.
        least: f64,
        /// The most that is taken.
        most: f64,
    },
    /// A mean, a shape or a rate is no number that a distribution can have.
    #[error("{name} is {number}, {fault}")]
    Distribution {
        /// What the number is.
        name: &'static str,
        /// The number that was given.
        number: f64,
        /// What is wrong with it.
        fault: &'static str,
    },
    /// A name is empty, or used twice in a list.
    #[error("`{list}`: the name {name:?} is empty or there twice")]
    AmbiguousName {
        /// The key of the list.
        list: &'static str,
        /// The name.
        name: String,
    },
    /// A list that needs an entry has none.
    #[error("`{0}` is empty")]
    EmptyList(&'static str),
    /// A name stands for nothing in the scenario.
    #[error("`{key}`: there is no {kind} {name}")]
    UnknownName {
        /// The key that holds the name.
        key: &'static str,
        /// What it should name.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// Tiers call each other in a circle.
    #[error("`calls` goes in a circle by {0}")]
    CallCycle(String),
    /// There are more upstreams or balancers than one run takes.
    #[error("`tier`: at most {upstreams} nodos and {balancers} balancers in all")]
    TooManyProcesses {
        /// Upstreams that a run takes.
        upstreams: u32,
        /// Balancers that a run takes.
        balancers: u32,
    },
    /// Callers would make more calls than one run takes.
    #[error("`callers`: {calls:.0} calls, of {most:.0} that one run may have")]
    TooManyCalls {
        /// Calls that the scenario asks for.
        calls: f64,
        /// Calls that a run takes.
        most: f64,
    },
    /// A closed group has more callers than a run takes.
    #[error("{0} callers are more than a million")]
    TooManyCallers(u32),
    /// Values that do not go together, or a value that a key may not have.
    #[error("{0}")]
    Inconsistent(&'static str),
    /// The engine refuses the settings that the scenario gives its balancers.
    #[error(transparent)]
    EngineSettings(#[from] woadstall_engine::decisions::SettingsError),
}

impl ScenarioError {
    /// The same error, as one in a part of the scenario.
    pub(super) fn within(self, part: ScenarioPart) -> Self {
        Self::In {
            part,
            source: Box::new(self),
        }
    }
}

/// The result of a check.
pub(super) type Check = Result<(), ScenarioError>;

/// Refuses with a fixed text.
pub(super) fn inconsistent(text: &'static str) -> Check {
    Err(ScenarioError::Inconsistent(text))
}

/// Refuses a number that is not in a range.
pub(super) fn in_range(key: &str, number: f64, least: f64, most: f64) -> Check {
    if number.is_finite() && (least..=most).contains(&number) {
        return Ok(());
    }
    Err(ScenarioError::OutOfRange {
        key: key.to_owned(),
        number,
        least,
        most,
    })
}

/// Refuses a name that is empty or used twice.
pub(super) fn unique_names<'a>(
    list: &'static str,
    names: impl Iterator<Item = &'a String>,
) -> Check {
    let mut seen = std::collections::HashSet::new();
    for name in names {
        if name.is_empty() || !seen.insert(name) {
            let name = name.clone();
            return Err(ScenarioError::AmbiguousName { list, name });
        }
    }
    Ok(())
}
