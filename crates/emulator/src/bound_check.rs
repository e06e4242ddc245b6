//! Evaluates a scenario's bounds from the timeline of a run alone, so that runs on sockets and emulated runs
//! are judged in the same way.

use crate::measure::{Counts, RunResult, TimelineStep};
use crate::scenario::{Bound, BoundResult, Requirement, Scenario};

/// Number of consecutive steps over which a recovery is measured.
const RECOVERY_STEPS: usize = 3;

/// Sum of the counts of calls and values over the steps between two times in seconds.
fn sum_counts(steps: &[TimelineStep], from: f64, until: f64) -> Counts {
    let mut sum = Counts::default();
    // A step counts if its midpoint lies in the window.
    let mut step_start = 0.0;
    for step in steps {
        let middle = (step_start + step.end_seconds) / 2.0;
        step_start = step.end_seconds;
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

fn fraction(part: f64, whole: f64) -> Option<f64> {
    (whole > 0.0).then(|| part / whole)
}

/// Fraction of the value offered between the warm-up and the first fault that was served.
fn served_before_faults(scenario: &Scenario, steps: &[TimelineStep]) -> f64 {
    let (from, until) = (scenario.warm_up.seconds(), scenario.first_fault().seconds());
    let counts = sum_counts(steps, from, until);
    fraction(counts.value, counts.value_offered).unwrap_or(0.0)
}

/// Seconds from `from` until `least` log lines of a topic were written, counted over steps that began at or
/// after `from`.
fn log_lines_after(steps: &[TimelineStep], topic: &str, from: f64, least: u64) -> Option<f64> {
    let (mut lines, mut next_start) = (0, 0.0);
    steps.iter().find_map(|step| {
        let step_start = std::mem::replace(&mut next_start, step.end_seconds);
        if step_start >= from {
            lines += step.log_lines_by_topic.get(topic).copied().unwrap_or(0);
        }
        (lines >= least).then_some(step.end_seconds - from)
    })
}

impl Bound {
    /// Evaluates this bound for a run.
    pub fn evaluate(&self, scenario: &Scenario, result: &RunResult) -> BoundResult {
        match &self.requirement {
            Requirement::Served { least, .. } | Requirement::PartitionsReported { least, .. } => {
                self.at_least(*least, self.measure(scenario, result))
            }
            Requirement::Refused { most, .. }
            | Requirement::ZoneNotEvacuated { most, .. }
            | Requirement::Attempts { most } => self.at_most(*most, self.measure(scenario, result)),
            Requirement::FalseDeaths { most } => {
                self.at_most(*most as f64, self.measure(scenario, result))
            }
            Requirement::Recovered { within, .. }
            | Requirement::LogLines { within, .. }
            | Requirement::DeathsKnown { within }
            | Requirement::Agreement { within, .. }
            | Requirement::ZoneEvacuated { within, .. } => {
                self.at_most(within.seconds(), self.measure(scenario, result))
            }
        }
    }

    fn at_least(&self, threshold: f64, measured: Option<f64>) -> BoundResult {
        let is_met = measured.is_some_and(|measured| measured >= threshold);
        self.result(threshold, measured, is_met)
    }

    fn at_most(&self, threshold: f64, measured: Option<f64>) -> BoundResult {
        let is_met = measured.is_some_and(|measured| measured <= threshold);
        self.result(threshold, measured, is_met)
    }

    fn result(&self, threshold: f64, measured: Option<f64>, is_met: bool) -> BoundResult {
        BoundResult {
            name: self.name.clone(),
            threshold,
            measured,
            is_met,
        }
    }

    /// Measured value of the requirement: a fraction, a count, or seconds; `None` if the condition never held.
    fn measure(&self, scenario: &Scenario, result: &RunResult) -> Option<f64> {
        let (members, evacuation) = (result.members.as_ref(), result.evacuation.as_ref());
        match &self.requirement {
            Requirement::Served { from, until, .. } => {
                let sum = sum_counts(&result.timeline, from.seconds(), until.seconds());
                fraction(sum.value, sum.value_offered)
            }
            Requirement::Refused { from, until, .. } => {
                let sum = sum_counts(&result.timeline, from.seconds(), until.seconds());
                fraction(sum.refused as f64, sum.offered as f64)
            }
            Requirement::Recovered { from, part, .. } => {
                let level = part * served_before_faults(scenario, &result.timeline);
                let until = scenario.duration.seconds();
                self.recovery_seconds(&result.timeline, from.seconds(), until, level)
            }
            Requirement::LogLines {
                topic, from, least, ..
            } => log_lines_after(&result.timeline, topic, from.seconds(), *least),
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
                .find(|(time, _)| *time >= at.seconds())
                .map(|(_, fraction)| *fraction),
            Requirement::ZoneEvacuated {
                zone, from, part, ..
            } => evacuation?.evacuated_after(zone, from.seconds(), *part),
            Requirement::ZoneNotEvacuated {
                zone, from, until, ..
            } => Some(evacuation?.max_evacuated_fraction(zone, from.seconds(), until.seconds())),
            Requirement::Attempts { .. } => {
                fraction(result.counts.attempts as f64, result.counts.requests as f64)
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
        let starts: Vec<f64> = std::iter::once(0.0)
            .chain(steps.iter().map(|step| step.end_seconds))
            .collect();
        let first = steps.iter().position(|step| step.end_seconds > from)?;
        (first..steps.len())
            .filter(|&index| starts[index] < until)
            .find_map(|index| {
                let window = &steps[index..steps.len().min(index + RECOVERY_STEPS)];
                let (value, offered) = window.iter().fold((0.0, 0.0), |(value, offered), step| {
                    (
                        value + step.counts.value,
                        offered + step.counts.value_offered,
                    )
                });
                fraction(value, offered)
                    .is_none_or(|served| served >= level)
                    .then_some((starts[index] - from).max(0.0))
            })
    }
}

impl Scenario {
    /// Evaluates all bounds for a run.
    pub fn evaluate(&self, result: &RunResult) -> Vec<BoundResult> {
        self.bound
            .iter()
            .map(|bound| bound.evaluate(self, result))
            .collect()
    }
}
