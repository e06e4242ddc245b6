//! Bounds: requirements on the result of a run.

use super::error::{CheckResult, in_range, inconsistent};
use super::{Scenario, Span};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A named requirement on the result of a run.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Bound {
    /// Name in reports; unique in a scenario.
    pub name: String,
    /// The requirement.
    #[serde(rename = "what")]
    pub requirement: Requirement,
}

/// Kinds of requirement.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Requirement {
    /// At least a fraction of the value offered in a window is served.
    Served {
        /// Start of the window.
        from: Span,
        /// End of the window.
        until: Span,
        /// Minimum fraction.
        least: f64,
    },
    /// At most a fraction of the calls that arrive in a window is refused even after the callers' retries.
    Refused {
        /// Start of the window.
        from: Span,
        /// End of the window.
        until: Span,
        /// Maximum fraction.
        most: f64,
    },
    /// After a time, service recovers to a fraction of the level before the first fault. The level is averaged
    /// over three steps, or up to the end of the run if that comes first.
    #[serde(rename = "back")]
    Recovered {
        /// Start of the measurement.
        from: Span,
        /// Required fraction of the service level before the first fault.
        part: f64,
        /// Longest time until the recovery.
        within: Span,
    },
    /// Balancers write at least a number of log lines on a topic within a time.
    #[serde(rename = "told")]
    LogLines {
        /// First word of the log lines, such as `zone` or `breaker`.
        topic: String,
        /// Start of the measurement.
        from: Span,
        /// Minimum number of lines from all balancers together.
        least: u64,
        /// Longest time until the lines are written.
        within: Span,
    },
    /// Limits the number of running members that are considered dead.
    FalseDeaths {
        /// Maximum number of false deaths.
        most: u64,
    },
    /// All members learn of each death of a member within a time.
    DeathsKnown {
        /// Longest time until a death is known.
        within: Span,
    },
    /// All running members consider each other alive within a time after `from`, and still do at its end.
    #[serde(rename = "together")]
    Agreement {
        /// Start of the measurement.
        from: Span,
        /// Longest time until the agreement.
        within: Span,
    },
    /// At a time, both ends report at least a fraction of the partitioned paths between members. Each path that
    /// is reported without being partitioned counts against the fraction.
    #[serde(rename = "cuts-named")]
    PartitionsReported {
        /// Time of the check.
        at: Span,
        /// Minimum fraction.
        least: f64,
    },
    /// A fraction of the balancers evacuates a zone, apart from trial requests, within a time.
    #[serde(rename = "out")]
    ZoneEvacuated {
        /// Name of the zone.
        zone: String,
        /// Start of the measurement.
        from: Span,
        /// Minimum fraction of the balancers.
        part: f64,
        /// Longest time until the evacuation.
        within: Span,
    },
    /// At most a fraction of the balancers has evacuated a zone at any time in a window.
    #[serde(rename = "stays")]
    ZoneNotEvacuated {
        /// Name of the zone.
        zone: String,
        /// Start of the window.
        from: Span,
        /// End of the window.
        until: Span,
        /// Maximum fraction of the balancers.
        most: f64,
    },
    /// Limits the attempts per request, summed over all tiers.
    Attempts {
        /// Maximum number of attempts per request.
        most: f64,
    },
}

/// Result of a bound.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct BoundResult {
    /// Name of the bound.
    pub name: String,
    /// Required minimum or maximum: a fraction, a count, or seconds.
    #[serde(rename = "wanted")]
    pub threshold: f64,
    /// Measured value in the unit of the threshold; `None` if the condition never held.
    #[serde(rename = "seen")]
    pub measured: Option<f64>,
    /// Whether the measured value meets the threshold.
    #[serde(rename = "kept")]
    pub is_met: bool,
}

impl fmt::Display for BoundResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let measured = self
            .measured
            .map_or("nothing".to_owned(), |measured| format!("{measured:.3}"));
        let verdict = if self.is_met { "kept" } else { "BROKEN" };
        write!(
            f,
            "bound {}: {verdict}, {measured} seen, {:.3} wanted",
            self.name, self.threshold
        )
    }
}

impl Bound {
    pub(super) fn check(&self, scenario: &Scenario) -> CheckResult {
        let check_window =
            |from: &Span, until: &Span| match from < until && *until <= scenario.duration {
                true => Ok(()),
                false => inconsistent("`until` is not after `from`, or after the end of the run"),
            };
        match &self.requirement {
            Requirement::Served { from, until, least } => {
                check_window(from, until).and_then(|()| in_range("least", *least, 0.0, 1.0))
            }
            Requirement::Refused { from, until, most } => {
                check_window(from, until).and_then(|()| in_range("most", *most, 0.0, 1.0))
            }
            Requirement::Recovered { from, part, .. } => {
                check_window(from, &scenario.duration)?;
                if scenario.first_fault() <= scenario.warm_up {
                    return inconsistent("`back`: no time before the first fault to compare with");
                }
                in_range("part", *part, 0.0, 1.0)
            }
            Requirement::LogLines { from, least, .. } => {
                check_window(from, &scenario.duration)?;
                if *least == 0 {
                    inconsistent("`least` is 0, which always holds")
                } else {
                    Ok(())
                }
            }
            Requirement::Attempts { most } => in_range("most", *most, 0.0, 1e6),
            _ if scenario.members.is_none() => {
                inconsistent("there is no `[members]`: balancers do not speak")
            }
            Requirement::FalseDeaths { .. } | Requirement::DeathsKnown { .. } => Ok(()),
            Requirement::ZoneEvacuated { .. } | Requirement::ZoneNotEvacuated { .. }
                if scenario.evacuation.is_none() =>
            {
                inconsistent("there is no `[evacuation]`: balancers leave nothing together")
            }
            Requirement::ZoneEvacuated {
                zone, from, part, ..
            } => {
                scenario.zone(&Some(zone.clone()))?;
                check_window(from, &scenario.duration)
                    .and_then(|()| in_range("part", *part, 0.0, 1.0))
            }
            Requirement::ZoneNotEvacuated {
                zone,
                from,
                until,
                most,
            } => {
                scenario.zone(&Some(zone.clone()))?;
                check_window(from, until).and_then(|()| in_range("most", *most, 0.0, 1.0))
            }
            Requirement::Agreement { from, .. } => check_window(from, &scenario.duration),
            Requirement::PartitionsReported { at, least } => check_window(at, &scenario.duration)
                .and_then(|()| in_range("least", *least, 0.0, 1.0)),
        }
    }
}

impl Scenario {
    /// Start of the first fault; the end of the run if there is no fault.
    pub fn first_fault(&self) -> Span {
        self.fault
            .iter()
            .map(|fault| fault.at)
            .min()
            .unwrap_or(self.duration)
    }
}
