//! Bounds: what must hold in a run, judged from its timeline alone, so that a run on sockets and one of the emulator
//! are judged alike.

use super::error::{Check, in_range, inconsistent};
use super::{Scenario, Span};
use crate::measure::{Counts, RunResult, TimelineStep};
use serde::{Deserialize, Serialize};
use std::fmt;

/// What must hold.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Bound {
    /// Its name.
    pub name: String,
    /// What is wanted.
    pub what: Requirement,
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
    Out {
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
    Stays {
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
    pub wanted: f64,
    /// What was seen; nothing where it never came.
    pub seen: Option<f64>,
    /// Whether it was kept.
    pub kept: bool,
}

impl fmt::Display for BoundResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seen = self
            .seen
            .map_or("nothing".to_owned(), |seen| format!("{seen:.3}"));
        let kept = if self.kept { "kept" } else { "BROKEN" };
        write!(
            f,
            "bound {}: {kept}, {seen} seen, {:.3} wanted",
            self.name, self.wanted
        )
    }
}

/// Steps that show a return.
const IN_A_ROW: usize = 3;

fn sum(steps: &[TimelineStep], from: f64, until: f64) -> Counts {
    let mut sum = Counts::default();
    // A step that is in the window by its middle counts.
    let mut before = 0.0;
    for step in steps {
        let middle = (before + step.until) / 2.0;
        before = step.until;
        if middle < from || middle >= until {
            continue;
        }
        sum.offered += step.counts.offered;
        sum.refused += step.counts.refused;
        sum.value += step.counts.value;
        sum.value_offered += step.counts.value_offered;
    }
    sum
}

fn part(of: f64, all: f64) -> Option<f64> {
    (all > 0.0).then(|| of / all)
}

/// The part of the value offered between the warm-up and the first fault that was served.
fn served_before_faults(scenario: &Scenario, steps: &[TimelineStep]) -> f64 {
    let (from, until) = (scenario.warm_up.seconds(), scenario.first_fault().seconds());
    let before = sum(steps, from, until);
    part(before.value, before.value_offered).unwrap_or(0.0)
}

/// Seconds from a time until so many log lines of a topic were written, in steps that began after it.
fn log_lines_after(steps: &[TimelineStep], topic: &str, from: f64, least: u64) -> Option<f64> {
    let (mut lines, mut begins) = (0, 0.0);
    steps.iter().find_map(|step| {
        let before = std::mem::replace(&mut begins, step.until);
        if before >= from {
            lines += step.lines.get(topic).copied().unwrap_or(0);
        }
        (lines >= least).then_some(step.until - from)
    })
}

impl Bound {
    pub(super) fn check(&self, scenario: &Scenario) -> Check {
        let window = |from: &Span, until: &Span| match from < until && *until <= scenario.time {
            true => Ok(()),
            false => inconsistent("`until` is not after `from`, or after the end of the run"),
        };
        match &self.what {
            Requirement::Served { from, until, least } => {
                window(from, until).and_then(|()| in_range("least", *least, 0.0, 1.0))
            }
            Requirement::Refused { from, until, most } => {
                window(from, until).and_then(|()| in_range("most", *most, 0.0, 1.0))
            }
            Requirement::Recovered { from, part, .. } => {
                window(from, &scenario.time)?;
                if scenario.first_fault() <= scenario.warm_up {
                    return inconsistent("`back`: no time before the first fault to compare with");
                }
                in_range("part", *part, 0.0, 1.0)
            }
            Requirement::LogLines { from, least, .. } => {
                window(from, &scenario.time)?;
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
            Requirement::Out { .. } | Requirement::Stays { .. }
                if scenario.evacuation.is_none() =>
            {
                inconsistent("there is no `[evacuation]`: balancers leave nothing together")
            }
            Requirement::Out {
                zone, from, part, ..
            } => {
                scenario.zone(&Some(zone.clone()))?;
                window(from, &scenario.time).and_then(|()| in_range("part", *part, 0.0, 1.0))
            }
            Requirement::Stays {
                zone,
                from,
                until,
                most,
            } => {
                scenario.zone(&Some(zone.clone()))?;
                window(from, until).and_then(|()| in_range("most", *most, 0.0, 1.0))
            }
            Requirement::Agreement { from, .. } => window(from, &scenario.time),
            Requirement::PartitionsReported { at, least } => {
                window(at, &scenario.time).and_then(|()| in_range("least", *least, 0.0, 1.0))
            }
        }
    }

    /// How it was kept in a run.
    pub fn judge(&self, scenario: &Scenario, end: &RunResult) -> BoundResult {
        match &self.what {
            Requirement::Served { least: wanted, .. }
            | Requirement::PartitionsReported { least: wanted, .. } => {
                self.at_least(*wanted, self.measured(scenario, end))
            }
            Requirement::Refused { most: wanted, .. }
            | Requirement::Stays { most: wanted, .. }
            | Requirement::Attempts { most: wanted } => {
                self.at_most(*wanted, self.measured(scenario, end))
            }
            Requirement::FalseDeaths { most } => {
                self.at_most(*most as f64, self.measured(scenario, end))
            }
            Requirement::Recovered { within, .. }
            | Requirement::LogLines { within, .. }
            | Requirement::DeathsKnown { within }
            | Requirement::Agreement { within, .. }
            | Requirement::Out { within, .. } => {
                self.at_most(within.seconds(), self.measured(scenario, end))
            }
        }
    }

    fn at_least(&self, wanted: f64, seen: Option<f64>) -> BoundResult {
        self.result(wanted, seen, seen.is_some_and(|seen| seen >= wanted))
    }

    fn at_most(&self, wanted: f64, seen: Option<f64>) -> BoundResult {
        self.result(wanted, seen, seen.is_some_and(|seen| seen <= wanted))
    }

    fn result(&self, wanted: f64, seen: Option<f64>, kept: bool) -> BoundResult {
        BoundResult {
            name: self.name.clone(),
            wanted,
            seen,
            kept,
        }
    }

    /// What a run shows of it: a part, a count, or seconds; nothing where it never came.
    fn measured(&self, scenario: &Scenario, end: &RunResult) -> Option<f64> {
        let (members, evacuated) = (end.members.as_ref(), end.evacuated.as_ref());
        match &self.what {
            Requirement::Served { from, until, .. } => {
                let sum = sum(&end.steps, from.seconds(), until.seconds());
                part(sum.value, sum.value_offered)
            }
            Requirement::Refused { from, until, .. } => {
                let sum = sum(&end.steps, from.seconds(), until.seconds());
                part(sum.refused as f64, sum.offered as f64)
            }
            Requirement::Recovered {
                from, part: level, ..
            } => {
                let level = level * served_before_faults(scenario, &end.steps);
                let until = scenario.time.seconds();
                self.back(&end.steps, from.seconds(), until, level)
            }
            Requirement::LogLines {
                topic, from, least, ..
            } => log_lines_after(&end.steps, topic, from.seconds(), *least),
            Requirement::FalseDeaths { .. } => members.map(|members| members.false_deaths as f64),
            Requirement::DeathsKnown { .. } => members
                .filter(|members| members.never_known == 0)
                .map(|members| members.known_ms.max / 1e3),
            Requirement::Agreement { from, within } => {
                members?.together_after(from.seconds(), within.seconds())
            }
            Requirement::PartitionsReported { at, .. } => members?
                .partitions_reported
                .iter()
                .find(|(when, _)| *when >= at.seconds())
                .map(|(_, part)| *part),
            Requirement::Out {
                zone, from, part, ..
            } => evacuated?.out_after(zone, from.seconds(), *part),
            Requirement::Stays {
                zone, from, until, ..
            } => Some(evacuated?.most_out(zone, from.seconds(), until.seconds())),
            Requirement::Attempts { .. } => {
                part(end.counts.attempts as f64, end.counts.requests as f64)
            }
        }
    }

    /// How long after a time service was back at a level, over some steps together: in a single one chance and what
    /// was offered before weigh too much.
    fn back(&self, steps: &[TimelineStep], from: f64, until: f64, level: f64) -> Option<f64> {
        let begins = std::iter::once(0.0).chain(steps.iter().map(|step| step.until));
        let steps: Vec<(f64, &TimelineStep)> = begins.zip(steps).collect();
        let after = steps.iter().position(|(_, step)| step.until > from)?;
        (after..steps.len())
            .filter(|&at| steps[at].0 < until)
            .find_map(|at| {
                let row = &steps[at..steps.len().min(at + IN_A_ROW)];
                let (value, offered) =
                    row.iter().fold((0.0, 0.0), |(value, offered), (_, step)| {
                        (
                            value + step.counts.value,
                            offered + step.counts.value_offered,
                        )
                    });
                part(value, offered)
                    .is_none_or(|part| part >= level)
                    .then_some((steps[at].0 - from).max(0.0))
            })
    }
}

impl Scenario {
    /// When the first fault begins; the end of the run, if there is none.
    pub fn first_fault(&self) -> Span {
        self.fault
            .iter()
            .map(|fault| fault.at)
            .min()
            .unwrap_or(self.time)
    }

    /// How the bounds were kept in a run.
    pub fn judge(&self, end: &RunResult) -> Vec<BoundResult> {
        self.bound
            .iter()
            .map(|bound| bound.judge(self, end))
            .collect()
    }
}
