//! Errors in scenarios, with their location.

use std::fmt;

/// Part of a scenario that contains an error.
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
    /// A fault, by its position in the list, from 1 on.
    Fault(usize),
    /// A bound, by its name.
    Bound(String),
    /// A key of the enclosing part.
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

/// Error in a scenario.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not TOML or does not have the form of a scenario; the message names the line and the key.
    #[error("{0}")]
    Syntax(Box<toml::de::Error>),
    /// Error in a part of the scenario.
    #[error("{part}: {source}")]
    In {
        /// Part that contains the error.
        part: ScenarioPart,
        /// Error in that part.
        source: Box<ScenarioError>,
    },
    /// A number is outside its range or not a number.
    #[error("`{key}` is {number}, not from {least} to {most}")]
    OutOfRange {
        /// Key of the number, or the name that the number belongs to.
        key: String,
        /// The given number.
        number: f64,
        /// Smallest allowed number.
        least: f64,
        /// Largest allowed number.
        most: f64,
    },
    /// A parameter of a distribution or a rate is invalid.
    #[error("{name} is {number}, {fault}")]
    Distribution {
        /// Name of the parameter.
        name: &'static str,
        /// The given number.
        number: f64,
        /// Reason why the number is invalid.
        fault: &'static str,
    },
    /// A name is empty or used twice in a list.
    #[error("`{list}`: the name {name:?} is empty or there twice")]
    AmbiguousName {
        /// Key of the list.
        list: &'static str,
        /// The ambiguous name.
        name: String,
    },
    /// A list that needs an entry is empty.
    #[error("`{0}` is empty")]
    EmptyList(&'static str),
    /// A name refers to nothing in the scenario.
    #[error("`{key}`: there is no {kind} {name}")]
    UnknownName {
        /// Key that holds the name.
        key: &'static str,
        /// Kind of object that the name should refer to.
        kind: &'static str,
        /// The unknown name.
        name: String,
    },
    /// Tiers call each other in a cycle.
    #[error("`calls` goes in a circle by {0}")]
    CallCycle(String),
    /// There are more upstreams or balancers than a run supports.
    #[error("`tier`: at most {upstreams} nodos and {balancers} balancers in all")]
    TooManyProcesses {
        /// Maximum number of upstreams in a run.
        upstreams: u32,
        /// Maximum number of balancers in a run.
        balancers: u32,
    },
    /// Callers would make more calls than a run supports.
    #[error("`callers`: {calls:.0} calls, of {most:.0} that one run may have")]
    TooManyCalls {
        /// Number of calls in the scenario.
        calls: f64,
        /// Maximum number of calls in a run.
        most: f64,
    },
    /// A closed-loop group has more callers than a run supports.
    #[error("{0} callers are more than a million")]
    TooManyCallers(u32),
    /// Values contradict each other, or a value is not allowed for its key.
    #[error("{0}")]
    Inconsistent(&'static str),
    /// The engine refuses the settings that result from the scenario.
    #[error(transparent)]
    EngineSettings(#[from] woadstall_engine::decisions::SettingsError),
}

impl ScenarioError {
    /// Wraps the error with the part of the scenario that contains it.
    pub(super) fn within(self, part: ScenarioPart) -> Self {
        Self::In {
            part,
            source: Box::new(self),
        }
    }
}

/// Result of a check.
pub(super) type CheckResult = Result<(), ScenarioError>;

/// Fails with a fixed text.
pub(super) fn inconsistent(text: &'static str) -> CheckResult {
    Err(ScenarioError::Inconsistent(text))
}

/// Fails if a number is outside its range.
pub(super) fn in_range(key: &str, number: f64, least: f64, most: f64) -> CheckResult {
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

/// Fails if a name is empty or used twice.
pub(super) fn unique_names<'a>(
    list: &'static str,
    names: impl Iterator<Item = &'a String>,
) -> CheckResult {
    let mut known = std::collections::HashSet::new();
    for name in names {
        if name.is_empty() || !known.insert(name) {
            let name = name.clone();
            return Err(ScenarioError::AmbiguousName { list, name });
        }
    }
    Ok(())
}
