//! Evaluates a scenario's bounds from the timeline of a run alone, so that runs on sockets and emulated runs
//! are judged in the same way.

use crate::measure::{Counts, RunResult, TimelineStep};
use crate::scenario::{Bound, BoundResult, Requirement, Scenario};

/// Number of consecutive steps over which a recovery is measured.
const RECOVERY_STEPS: usize = 3;

fn sum_counts(steps: &[TimelineStep], from: f64, until: f64) -> Counts {
    let mut sum = Counts::default();
    // A step counts if its midpoint lies in the window.
    let mut before = 0.0;
    for step in steps {
        let middle = (before + step.end_seconds) / 2.0;
        before = step.end_seconds;
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

fn fraction(of: f64, all: f64) -> Option<f64> {
    (all > 0.0).then(|| of / all)
}

/// Fraction of the value offered between the warm-up and the first fault that was served.
fn served_before_faults(scenario: &Scenario, steps: &[TimelineStep]) -> f64 {
    let (from, until) = (scenario.warm_up.seconds(), scenario.first_fault().seconds());
    let before = sum_counts(steps, from, until);
    fraction(before.value, before.value_offered).unwrap_or(0.0)
}

/// Seconds from `from` until `least` log lines of a topic were written, counted over steps that began at or
/// after `from`.
fn log_lines_after(steps: &[TimelineStep], topic: &str, from: f64, least: u64) -> Option<f64> {
    let (mut lines, mut begins) = (0, 0.0);
    steps.iter().find_map(|step| {
        let before = std::mem::replace(&mut begins, step.end_seconds);
        if before >= from {
            lines += step.log_lines_by_topic.get(topic).copied().unwrap_or(0);
        }
        (lines >= least).then_some(step.end_seconds - from)
    })
}

impl Bound {
    /// Evaluates this bound for a run.
    pub fn evaluate(&self, scenario: &Scenario, end: &RunResult) -> BoundResult {
        match &self.requirement {
            Requirement::Served { least: wanted, .. }
            | Requirement::PartitionsReported { least: wanted, .. } => {
                self.at_least(*wanted, self.measure(scenario, end))
            }
            Requirement::Refused { most: wanted, .. }
            | Requirement::ZoneNotEvacuated { most: wanted, .. }
            | Requirement::Attempts { most: wanted } => {
                self.at_most(*wanted, self.measure(scenario, end))
            }
            Requirement::FalseDeaths { most } => {
                self.at_most(*most as f64, self.measure(scenario, end))
            }
            Requirement::Recovered { within, .. }
            | Requirement::LogLines { within, .. }
            | Requirement::DeathsKnown { within }
            | Requirement::Agreement { within, .. }
            | Requirement::ZoneEvacuated { within, .. } => {
                self.at_most(within.seconds(), self.measure(scenario, end))
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
            threshold: wanted,
            measured: seen,
            is_met: kept,
        }
    }

    /// Measured value of the requirement: a fraction, a count, or seconds; `None` if the condition never held.
    fn measure(&self, scenario: &Scenario, end: &RunResult) -> Option<f64> {
        let (members, evacuated) = (end.members.as_ref(), end.evacuation.as_ref());
        match &self.requirement {
            Requirement::Served { from, until, .. } => {
                let sum = sum_counts(&end.timeline, from.seconds(), until.seconds());
                fraction(sum.value, sum.value_offered)
            }
            Requirement::Refused { from, until, .. } => {
                let sum = sum_counts(&end.timeline, from.seconds(), until.seconds());
                fraction(sum.refused as f64, sum.offered as f64)
            }
            Requirement::Recovered {
                from, part: level, ..
            } => {
                let level = level * served_before_faults(scenario, &end.timeline);
                let until = scenario.duration.seconds();
                self.recovery_seconds(&end.timeline, from.seconds(), until, level)
            }
            Requirement::LogLines {
                topic, from, least, ..
            } => log_lines_after(&end.timeline, topic, from.seconds(), *least),
            Requirement::FalseDeaths { .. } => members.map(|members| members.false_deaths as f64),
            Requirement::DeathsKnown { .. } => members
                .filter(|members| members.never_known == 0)
                .map(|members| members.known_ms.max / 1e3),
            Requirement::Agreement { from, within } => {
                members?.agreement_after(from.seconds(), within.seconds())
            }
            Requirement::PartitionsReported { at, .. } => members?
                .partitions_reported
                .iter()
                .find(|(when, _)| *when >= at.seconds())
                .map(|(_, part)| *part),
            Requirement::ZoneEvacuated {
                zone, from, part, ..
            } => evacuated?.evacuated_after(zone, from.seconds(), *part),
            Requirement::ZoneNotEvacuated {
                zone, from, until, ..
            } => Some(evacuated?.max_evacuated_fraction(zone, from.seconds(), until.seconds())),
            Requirement::Attempts { .. } => {
                fraction(end.counts.attempts as f64, end.counts.requests as f64)
            }
        }
    }

    /// Seconds from `from` until service was back at `level`, averaged over several steps. In a single step,
    /// random variation and calls offered in earlier steps weigh too much.
    fn recovery_seconds(
        &self,
        steps: &[TimelineStep],
        from: f64,
        until: f64,
        level: f64,
    ) -> Option<f64> {
        let begins = std::iter::once(0.0).chain(steps.iter().map(|step| step.end_seconds));
        let steps: Vec<(f64, &TimelineStep)> = begins.zip(steps).collect();
        let after = steps.iter().position(|(_, step)| step.end_seconds > from)?;
        (after..steps.len())
            .filter(|&at| steps[at].0 < until)
            .find_map(|at| {
                let row = &steps[at..steps.len().min(at + RECOVERY_STEPS)];
                let (value, offered) =
                    row.iter().fold((0.0, 0.0), |(value, offered), (_, step)| {
                        (
                            value + step.counts.value,
                            offered + step.counts.value_offered,
                        )
                    });
                fraction(value, offered)
                    .is_none_or(|part| part >= level)
                    .then_some((steps[at].0 - from).max(0.0))
            })
    }
}

impl Scenario {
    /// Evaluates all bounds for a run.
    pub fn evaluate(&self, end: &RunResult) -> Vec<BoundResult> {
        self.bound
            .iter()
            .map(|bound| bound.evaluate(self, end))
            .collect()
    }
}
