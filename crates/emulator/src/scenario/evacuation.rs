//! Settings of evacuation (balancers leave failure domains together), and of balancers that report falsely.

use super::Scenario;
use super::error::{Check, in_range, inconsistent};
use crate::units::{MS, Span};
use serde::{Deserialize, Serialize};

/// Evacuation as a fleet, by the shipped crate in each balancer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct EvacuationConfig {
    /// How often each looks at what is known.
    #[serde(rename = "every")]
    pub interval: Span,
    /// What liars say; none, if it is left out.
    #[serde(rename = "lie")]
    pub false_reporting: Option<FalseReporting>,
}

impl Default for EvacuationConfig {
    fn default() -> Self {
        Self {
            interval: Span(100 * MS),
            false_reporting: None,
        }
    }
}

/// What some of the balancers say whatever they see.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct FalseReporting {
    /// Part of the balancers that say it: the first of each zone.
    pub part: f64,
    /// What.
    #[serde(rename = "says")]
    pub report: FalseReport,
}

/// What a liar says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FalseReport {
    /// All calls fail, everywhere.
    #[serde(rename = "all-bad")]
    AllCallsFail,
    /// No call fails, anywhere.
    #[serde(rename = "all-well")]
    NoCallFails,
    /// All calls to its own zone fail.
    #[serde(rename = "own-zone-bad")]
    OwnZoneCallsFail,
}

impl Scenario {
    pub(super) fn check_evacuation(&self) -> Check {
        let Some(evacuation) = &self.evacuation else {
            return Ok(());
        };
        if self.members.is_none() {
            return inconsistent(
                "`evacuation`: there are no `members`, so nobody can tell anything",
            );
        }
        if evacuation.interval.0 < MS {
            return inconsistent("`evacuation.every` is shorter than a millisecond");
        }
        evacuation
            .false_reporting
            .as_ref()
            .map_or(Ok(()), |false_reporting| {
                in_range("evacuation.lie.part", false_reporting.part, 0.0, 1.0)
            })
    }
}
