//! Bounds: what must hold in a run.

use super::error::{Check, in_range, inconsistent};
use super::{Scenario, Span};
use serde::{Deserialize, Serialize};
use std::fmt;

/// What must hold.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Bound {
    /// Its name.
    pub name: String,
    /// What is wanted.
    #[serde(rename = "what")]
    pub requirement: Requirement,
}

/// What is wanted.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Requirement {
    /// At least this part of the value that is offered from one time to another is served.
    Served {
        /// From when on.
        from: Span,
        /// Until when.
        until: Span,
        /// The part.
        least: f64,
    },
    /// At most this part of the calls that come from one time to another is refused to the end.
    Refused {
        /// From when on.
        from: Span,
        /// Until when.
        until: Span,
        /// The part.
        most: f64,
    },
    /// From a time on, at least this part of what was served before the first fault is served again within so
    /// long, over three steps together (or to the end, if that is sooner).
    #[serde(rename = "back")]
    Recovered {
        /// From when on.
        from: Span,
        /// The part.
        part: f64,
        /// Within this time.
        within: Span,
    },
    /// Balancers report something, by the first word of their log lines: at least so many lines within a time.
    #[serde(rename = "told")]
    LogLines {
        /// The word, as `zone` or `breaker`.
        topic: String,
        /// From when on.
        from: Span,
        /// So many lines, of all balancers together.
        least: u64,
        /// Within this time.
        within: Span,
    },
    /// Of balancers that speak with each other, at most so many are held for dead though they are there.
    FalseDeaths {
        /// How many.
        most: u64,
    },
    /// Each death of such a balancer is known by all within so long.
    DeathsKnown {
        /// Within this time.
        within: Span,
    },
    /// Within so long of a time, all of them that run hold all others for there, and still do when that is over.
    #[serde(rename = "together")]
    Agreement {
        /// From when on.
        from: Span,
        /// Within this time.
        within: Span,
    },
    /// At a time, at least this part of the cut ways between them is named right by both sides; each that is named and
    /// is not cut counts against it.
    #[serde(rename = "cuts-named")]
    PartitionsReported {
        /// When.
        at: Span,
        /// The part.
        least: f64,
    },
    /// Within so long of a time, this part of the balancers is out of a zone, but for trials.
    #[serde(rename = "out")]
    ZoneEvacuated {
        /// The zone.
        zone: String,
        /// From when on.
        from: Span,
        /// The part.
        part: f64,
        /// Within this time.
        within: Span,
    },
    /// At no time of a window is more than a part of the balancers out of a zone.
    #[serde(rename = "stays")]
    ZoneNotEvacuated {
        /// The zone.
        zone: String,
        /// From when on.
        from: Span,
        /// Until when.
        until: Span,
        /// The part.
        most: f64,
    },
    /// At most so many attempts for each request, those at all tiers together.
    Attempts {
        /// How many.
        most: f64,
    },
}

/// How a bound was kept.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct BoundResult {
    /// Its name.
    pub name: String,
    /// The least or most that was wanted; seconds for a return.
    #[serde(rename = "wanted")]
    pub threshold: f64,
    /// What was seen; nothing where it never came.
    #[serde(rename = "seen")]
    pub measured: Option<f64>,
    /// Whether it was kept.
    #[serde(rename = "kept")]
    pub is_met: bool,
}

impl fmt::Display for BoundResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seen = self
            .measured
            .map_or("nothing".to_owned(), |seen| format!("{seen:.3}"));
        let kept = if self.is_met { "kept" } else { "BROKEN" };
        write!(
            f,
            "bound {}: {kept}, {seen} seen, {:.3} wanted",
            self.name, self.threshold
        )
    }
}

impl Bound {
    pub(super) fn check(&self, scenario: &Scenario) -> Check {
        let window = |from: &Span, until: &Span| match from < until && *until <= scenario.duration {
            true => Ok(()),
            false => inconsistent("`until` is not after `from`, or after the end of the run"),
        };
        match &self.requirement {
            Requirement::Served { from, until, least } => {
                window(from, until).and_then(|()| in_range("least", *least, 0.0, 1.0))
            }
            Requirement::Refused { from, until, most } => {
                window(from, until).and_then(|()| in_range("most", *most, 0.0, 1.0))
            }
            Requirement::Recovered { from, part, .. } => {
                window(from, &scenario.duration)?;
                if scenario.first_fault() <= scenario.warm_up {
                    return inconsistent("`back`: no time before the first fault to compare with");
                }
                in_range("part", *part, 0.0, 1.0)
            }
            Requirement::LogLines { from, least, .. } => {
                window(from, &scenario.duration)?;
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
                window(from, &scenario.duration).and_then(|()| in_range("part", *part, 0.0, 1.0))
            }
            Requirement::ZoneNotEvacuated {
                zone,
                from,
                until,
                most,
            } => {
                scenario.zone(&Some(zone.clone()))?;
                window(from, until).and_then(|()| in_range("most", *most, 0.0, 1.0))
            }
            Requirement::Agreement { from, .. } => window(from, &scenario.duration),
            Requirement::PartitionsReported { at, least } => {
                window(at, &scenario.duration).and_then(|()| in_range("least", *least, 0.0, 1.0))
            }
        }
    }
}

impl Scenario {
    /// When the first fault begins; the end of the run, if there is none.
    pub fn first_fault(&self) -> Span {
        self.fault
            .iter()
            .map(|fault| fault.at)
            .min()
            .unwrap_or(self.duration)
    }
}
