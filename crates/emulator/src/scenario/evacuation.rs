//! Settings of evacuation, in which all balancers together stop sending to failing zones, and of balancers that
//! report falsely.

use super::Scenario;
use super::error::{CheckResult, in_range, inconsistent};
use crate::units::{MS, Span};
use serde::{Deserialize, Serialize};

/// Evacuation by the fleet; each balancer runs the shipped crate's coordinator.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct EvacuationConfig {
    /// Interval of each coordinator's rounds.
    #[serde(rename = "every")]
    pub interval: Span,
    /// Balancers that report falsely; none by default.
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

/// False reports by some of the balancers, independent of their observations.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct FalseReporting {
    /// Fraction of the balancers that report falsely: the first ones by number, which are spread over the zones.
    pub part: f64,
    /// The false report.
    #[serde(rename = "says")]
    pub report: FalseReport,
}

/// Kinds of false report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FalseReport {
    /// All calls fail, in every zone.
    #[serde(rename = "all-bad")]
    AllCallsFail,
    /// No call fails, in any zone.
    #[serde(rename = "all-well")]
    NoCallFails,
    /// All calls to the balancer's own zone fail.
    #[serde(rename = "own-zone-bad")]
    OwnZoneCallsFail,
}

impl Scenario {
    pub(super) fn check_evacuation(&self) -> CheckResult {
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
