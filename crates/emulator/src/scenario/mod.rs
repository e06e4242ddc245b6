//! Scenarios: a fleet, its load, and its faults, read from a TOML file. Unknown keys are refused, and invalid
//! values are refused with the name of their key.

mod bound;
mod check;
mod distribution;
mod error;
mod evacuation;
mod fault;
mod limits;
mod load;
mod members;
mod settings;
mod tiers;

pub use bound::{Bound, BoundResult, Requirement};
pub use error::{ScenarioError, ScenarioPart};
pub use evacuation::{EvacuationConfig, FalseReport, FalseReporting};
pub use fault::{Fault, FaultKind, LinkFault, StoredFiles};
pub use limits::{Clocks, Limits, Network, RegistryConfig, RegistryQueries};
pub use load::{CallerGroup, CallerRetries, Load, by_weight};
pub use members::{Direction, MemberLink, MemberLinkFault, MembershipConfig};
pub use tiers::{Connections, DownstreamCalls, FrontConfig, ProbeConfig, QueueOrder, Tier};

use crate::random::Dist;
use crate::units::{SECOND, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of calls in a run, which bounds its time and memory.
pub const MAX_CALLS: f64 = 50e6;

/// A fleet, its load, and the faults of a run.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Purpose of the scenario.
    #[serde(default)]
    #[serde(rename = "about")]
    pub description: String,
    /// Duration of the callers' load.
    #[serde(rename = "time")]
    pub duration: Span,
    /// Calls that arrive before this time are not counted, as the engine has not learned its averages yet.
    #[serde(default)]
    pub warm_up: Span,
    /// Length of a step of the timeline.
    #[serde(default = "one_second")]
    pub step: Span,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Classes of requests.
    pub class: Vec<CallClass>,
    /// Tenants with quotas; optional.
    #[serde(default)]
    pub tenant: Vec<CallTenant>,
    /// Tiers; the first one serves the callers.
    pub tier: Vec<Tier>,
    /// Groups of callers.
    pub callers: Vec<CallerGroup>,
    /// Front that distributes callers' connections; without it, each call goes to a live balancer.
    #[serde(default)]
    pub front: Option<FrontConfig>,
    /// Limits of the balancers.
    #[serde(default)]
    pub limits: Limits,
    /// Network between balancers and upstreams.
    #[serde(default)]
    pub network: Network,
    /// Distribution of the upstream list.
    #[serde(default)]
    #[serde(rename = "padron")]
    pub registry: RegistryConfig,
    /// Clocks of the balancers.
    #[serde(default)]
    pub clocks: Clocks,
    /// Membership among the balancers; none by default.
    #[serde(default)]
    pub members: Option<MembershipConfig>,
    /// Evacuation of upstreams, zones and regions by the fleet; needs `members`.
    #[serde(default)]
    pub evacuation: Option<EvacuationConfig>,
    /// Faults in any order.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// Region of each zone that belongs to one.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Requirements on the result, judged from the callers' observations.
    #[serde(default)]
    pub bound: Vec<Bound>,
}

fn one_second() -> Span {
    Span(SECOND)
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CallClass {
    /// Name of the class.
    pub name: String,
    /// Effect of a repetition.
    pub effect: CallEffect,
    /// Upstreams that drop repeats of a keyed request.
    #[serde(default)]
    pub group: CallGroup,
    /// Time during which upstreams drop repeats of a keyed request.
    #[serde(default)]
    pub window: Span,
    /// Latency within which an answer earns the full value.
    #[serde(rename = "aim")]
    pub latency_target: Span,
    /// Time that the caller waits for an answer.
    pub deadline: Span,
    /// Value of an answer.
    #[serde(default = "one")]
    #[serde(rename = "worth")]
    pub value: f64,
    /// Fraction of the value that a late answer earns.
    #[serde(default)]
    #[serde(rename = "late-worth")]
    pub late_value: f64,
    /// Duration of the work at a warm upstream.
    pub service: Dist,
    /// Size of the body in bytes, which determines its transfer time.
    #[serde(default)]
    pub bytes: f64,
}

fn one() -> f64 {
    1.0
}

/// Effect of a repeated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallEffect {
    /// A repetition does no harm.
    Safe,
    /// Upstreams drop repetitions within a window.
    Keyed,
    /// The request must never run twice.
    Unsafe,
}

/// Upstreams that drop repetitions of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallGroup {
    /// All upstreams.
    #[default]
    All,
    /// Upstreams in the zone of the first execution.
    Zone,
    /// Upstreams in the cell of the first execution.
    Cell,
}

/// A tenant with a quota.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CallTenant {
    /// Name of the tenant.
    pub name: String,
    /// Requests per second that keep their full value.
    pub quota: f64,
}

impl Scenario {
    /// Reads and validates a scenario.
    ///
    /// # Errors
    ///
    /// An invalid form, with line and key, or an invalid value, with its key.
    pub fn read(text: &str) -> Result<Self, ScenarioError> {
        let mut scenario: Self =
            toml::from_str(text).map_err(|error| ScenarioError::Syntax(Box::new(error)))?;
        let faults = std::mem::take(&mut scenario.fault).into_iter().zip(0..);
        for (fault, file_position) in faults {
            scenario
                .fault
                .extend(fault.expand_repetition(file_position)?);
        }
        scenario.check()?;
        Ok(scenario)
    }

    /// Validates the scenario.
    ///
    /// # Errors
    ///
    /// The first error that is found, with the part of the scenario that contains it.
    pub fn check(&self) -> Result<(), ScenarioError> {
        self.check_all()
    }

    /// Position of the tier whose upstreams call this one.
    pub fn caller_of(&self, tier: usize) -> Option<usize> {
        let name = &self.tier[tier].name;
        self.tier.iter().position(|calling_tier| {
            calling_tier
                .calls
                .as_ref()
                .is_some_and(|calls| calls.tier == *name)
        })
    }

    /// Zone of an upstream or balancer by its number in the tier; zones are assigned round robin.
    pub fn zone_in_turn(&self, number: u32) -> u8 {
        (number as usize % self.zones.len()) as u8
    }

    /// Longest deadline of all classes.
    pub fn longest_deadline(&self) -> Span {
        self.class
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(Span(0))
    }

    /// Number of balancers that send to a tier.
    pub fn balancer_count(&self, tier: usize) -> u32 {
        match self.tier[tier].sidecar {
            true => self
                .caller_of(tier)
                .map_or(0, |caller| self.tier[caller].upstreams),
            false => self.tier[tier].balancers,
        }
    }

    /// Number of balancers and number of upstreams in all tiers.
    pub fn process_counts(&self) -> (u64, u64) {
        let balancers = (0..self.tier.len())
            .map(|tier| u64::from(self.balancer_count(tier)))
            .sum();
        (
            balancers,
            self.tier.iter().map(|tier| u64::from(tier.upstreams)).sum(),
        )
    }

    /// Position of a class, by its name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.class.iter().position(|class| class.name == name)
    }

    /// Classes that a group of callers calls, as pairs of share and position.
    pub fn mix(&self, callers: &CallerGroup) -> Vec<(f64, usize)> {
        let classes = callers.classes.iter();
        classes
            .filter_map(|(name, share)| Some((*share, self.class(name)?)))
            .collect()
    }

    /// Position of a tier, by its name.
    pub fn tier(&self, name: &str) -> Option<usize> {
        self.tier.iter().position(|tier| tier.name == name)
    }

    /// Position of a zone, by its name; `None` for all zones.
    ///
    /// # Errors
    ///
    /// The scenario has no zone of this name.
    pub fn zone(&self, name: &Option<String>) -> Result<Option<u8>, ScenarioError> {
        let Some(name) = name else { return Ok(None) };
        let position = self.zones.iter().position(|zone| zone == name);
        position
            .map(|position| Some(position as u8))
            .ok_or_else(|| ScenarioError::UnknownName {
                key: "zone",
                kind: "zone",
                name: name.clone(),
            })
    }

    /// Name of a zone, by its position.
    pub fn zone_name(&self, zone: u8) -> Option<&String> {
        self.zones.get(usize::from(zone))
    }

    /// Number of tiers between the callers and this one.
    pub fn depth(&self, tier: usize) -> u32 {
        std::iter::successors(self.caller_of(tier), |&calling_tier| {
            self.caller_of(calling_tier)
        })
        .count() as u32
    }
}
