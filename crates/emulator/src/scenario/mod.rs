//! Scenarios: a fleet, its load, and a script of faults, as a TOML file says them. Keys that are not known are
//! refused, and whatever makes no sense is refused with the name of its key.

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

/// Most calls that one run may ask for: bounds its time and memory.
pub const MAX_CALLS: f64 = 50e6;

/// A whole scenario.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is for.
    #[serde(default)]
    #[serde(rename = "about")]
    pub description: String,
    /// How long callers come.
    #[serde(rename = "time")]
    pub duration: Span,
    /// What comes before this is not counted: averages are not learned yet.
    #[serde(default)]
    pub warm_up: Span,
    /// The timeline's step.
    #[serde(default = "one_second")]
    pub step: Span,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The classes of requests.
    pub class: Vec<CallClass>,
    /// Tenants with quotas; may be left out.
    #[serde(default)]
    pub tenant: Vec<CallTenant>,
    /// The tiers; the first serves the callers.
    pub tier: Vec<Tier>,
    /// Groups of callers.
    pub callers: Vec<CallerGroup>,
    /// The front that deals out callers' connections; without one, each call goes to any balancer that is there.
    #[serde(default)]
    pub front: Option<FrontConfig>,
    /// What balancers may do.
    #[serde(default)]
    pub limits: Limits,
    /// The network.
    #[serde(default)]
    pub network: Network,
    /// How the list of upstreams reaches the balancers.
    #[serde(default)]
    #[serde(rename = "padron")]
    pub registry: RegistryConfig,
    /// The balancers' clocks.
    #[serde(default)]
    pub clocks: Clocks,
    /// Membership among the balancers; none, if it is left out.
    #[serde(default)]
    pub members: Option<MembershipConfig>,
    /// Leaving upstreams, zones and regions as a fleet; needs `members`.
    #[serde(default)]
    pub evacuation: Option<EvacuationConfig>,
    /// Faults, in any order.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// The region of each zone that lies in one.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// What must hold, judged from what callers saw.
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
    /// Its name.
    pub name: String,
    /// What repeating it does.
    pub effect: CallEffect,
    /// For keyed work: the upstreams that drop its repeats.
    #[serde(default)]
    pub group: CallGroup,
    /// For keyed work: how long they do.
    #[serde(default)]
    pub window: Span,
    /// An answer within this earns the full value.
    #[serde(rename = "aim")]
    pub latency_target: Span,
    /// The caller waits for no longer.
    pub deadline: Span,
    /// Worth of an answer.
    #[serde(default = "one")]
    #[serde(rename = "worth")]
    pub value: f64,
    /// Part of it that a late answer earns.
    #[serde(default)]
    #[serde(rename = "late-worth")]
    pub late_value: f64,
    /// How long a warm upstream works on it.
    pub service: Dist,
    /// Bytes of its body, which the network takes its time for.
    #[serde(default)]
    pub bytes: f64,
}

fn one() -> f64 {
    1.0
}

/// What repeating a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallEffect {
    /// Nothing.
    Safe,
    /// Upstreams drop repeats for a while.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

/// The upstreams that drop the repeats of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallGroup {
    /// All.
    #[default]
    All,
    /// Those of the zone that had it first.
    Zone,
    /// Those of the cell that had it first.
    Cell,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CallTenant {
    /// Its name.
    pub name: String,
    /// Requests a second that count in full.
    pub quota: f64,
}

impl Scenario {
    /// Reads a scenario and checks it.
    ///
    /// # Errors
    ///
    /// A text that is not of a scenario's form, by line and key, or values that make no sense, by key.
    pub fn read(text: &str) -> Result<Self, ScenarioError> {
        let mut scenario: Self =
            toml::from_str(text).map_err(|error| ScenarioError::Syntax(Box::new(error)))?;
        let faults = std::mem::take(&mut scenario.fault).into_iter().zip(0..);
        for (fault, file_position) in faults {
            scenario.fault.extend(fault.each_time(file_position)?);
        }
        scenario.check()?;
        Ok(scenario)
    }

    /// Refuses what makes no sense.
    ///
    /// # Errors
    ///
    /// The first fault that is found, with the part of the scenario that it lies in.
    pub fn check(&self) -> Result<(), ScenarioError> {
        self.check_all()
    }

    /// The tier whose upstreams call this one.
    pub fn caller_of(&self, tier: usize) -> Option<usize> {
        let name = &self.tier[tier].name;
        self.tier.iter().position(|other| {
            other
                .calls
                .as_ref()
                .is_some_and(|calls| calls.tier == *name)
        })
    }

    /// Zone of an upstream or balancer, by its number in its tier: they stand in the zones in turn.
    pub fn zone_in_turn(&self, number: u32) -> u8 {
        (number as usize % self.zones.len()) as u8
    }

    /// The longest that a caller waits.
    pub fn longest_deadline(&self) -> Span {
        self.class
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(Span(0))
    }

    /// How many balancers send to a tier.
    pub fn balancer_count(&self, tier: usize) -> u32 {
        match self.tier[tier].sidecar {
            true => self
                .caller_of(tier)
                .map_or(0, |caller| self.tier[caller].upstreams),
            false => self.tier[tier].balancers,
        }
    }

    /// How many balancers and upstreams there are in all.
    pub fn process_counts(&self) -> (u64, u64) {
        let balancers = (0..self.tier.len())
            .map(|tier| u64::from(self.balancer_count(tier)))
            .sum();
        (
            balancers,
            self.tier.iter().map(|tier| u64::from(tier.upstreams)).sum(),
        )
    }

    /// Position of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.class.iter().position(|class| class.name == name)
    }

    /// The classes that a group of callers calls, by position, with the share of each.
    pub fn mix(&self, callers: &CallerGroup) -> Vec<(f64, usize)> {
        let classes = callers.classes.iter();
        classes
            .filter_map(|(name, share)| Some((*share, self.class(name)?)))
            .collect()
    }

    /// Position of a tier.
    pub fn tier(&self, name: &str) -> Option<usize> {
        self.tier.iter().position(|tier| tier.name == name)
    }

    /// Position of a zone; `None` for all.
    ///
    /// # Errors
    ///
    /// A name that no zone of the scenario has.
    pub fn zone(&self, name: &Option<String>) -> Result<Option<u8>, ScenarioError> {
        let Some(name) = name else { return Ok(None) };
        let at = self.zones.iter().position(|zone| zone == name);
        at.map(|at| Some(at as u8))
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

    /// How deep a tier lies under the callers.
    pub fn depth(&self, tier: usize) -> u32 {
        std::iter::successors(self.caller_of(tier), |&above| self.caller_of(above)).count() as u32
    }
}
