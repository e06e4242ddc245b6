//! The comparison of a run with the emulator's run of the same scenario, step by step.

use woadstall_emulator::Counts;
use woadstall_emulator_cli::rows::Row;

/// A figure of both runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FigurePair {
    /// The emulator's.
    pub emulator: f64,
    /// That of the run with processes.
    pub processes: f64,
}

impl FigurePair {
    /// By how much the two differ.
    fn distance(&self) -> f64 {
        (self.emulator - self.processes).abs()
    }
}

/// A step of both timelines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepShares {
    /// The end of the step, in seconds.
    pub until_s: f64,
    /// The share of the value offered in it that was served.
    pub served: FigurePair,
}

/// The step with the largest distance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorstStep {
    /// The end of the step, in seconds.
    pub until_s: f64,
    /// The distance of the shares served in it.
    pub distance: f64,
}

/// Two runs of one scenario side by side.
#[derive(Debug)]
pub struct Comparison {
    /// All steps of the timeline.
    pub steps: Vec<StepShares>,
    /// The mean distance of the shares served in a step.
    pub mean_distance: f64,
    /// The step in which the two are furthest apart.
    pub worst_step: WorstStep,
    /// The share of the value that was served in all.
    pub served: FigurePair,
    /// The share of the calls that were rejected in the end.
    pub rejected: FigurePair,
}

/// Why two rows cannot be compared.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CompareError {
    /// They are of different scenarios, or of different versions of one.
    #[error("not of one scenario: {emulator} and {processes}")]
    DifferentScenarios {
        /// The emulator's scenario.
        emulator: String,
        /// That of the run with processes.
        processes: String,
    },
    /// One of them has no timeline.
    #[error(
        "no timeline: write rows with `woadstall-emulator-cli run --json` and `woadstall-cluster-test run --out`"
    )]
    NoTimeline,
}

/// Compares two rows that have a timeline.
///
/// # Errors
///
/// Where the rows are not of one scenario, or one has no timeline.
pub fn compare(emulator: &Row, processes: &Row) -> Result<Comparison, CompareError> {
    let scenario = |row: &Row| (row.key.scenario.clone(), row.key.digest.clone());
    if scenario(emulator) != scenario(processes) {
        return Err(CompareError::DifferentScenarios {
            emulator: emulator.key.scenario.clone(),
            processes: processes.key.scenario.clone(),
        });
    }
    let pairs = emulator.end.timeline.iter().zip(&processes.end.timeline);
    let steps: Vec<StepShares> = pairs
        .map(|(emulator, processes)| StepShares {
            until_s: emulator.end_seconds,
            served: FigurePair {
                emulator: served_ratio(&emulator.counts),
                processes: served_ratio(&processes.counts),
            },
        })
        .collect();
    if steps.is_empty() {
        return Err(CompareError::NoTimeline);
    }
    let distances = || steps.iter().map(|step| step.served.distance());
    Ok(Comparison {
        mean_distance: distances().sum::<f64>() / steps.len() as f64,
        worst_step: worst_step(&steps),
        served: FigurePair {
            emulator: emulator.end.served_value_fraction,
            processes: processes.end.served_value_fraction,
        },
        rejected: FigurePair {
            emulator: rejected_ratio(emulator),
            processes: rejected_ratio(processes),
        },
        steps,
    })
}

/// The last of the steps with the largest distance.
fn worst_step(steps: &[StepShares]) -> WorstStep {
    let steps = steps.iter().map(|step| WorstStep {
        until_s: step.until_s,
        distance: step.served.distance(),
    });
    steps
        .max_by(|a, b| a.distance.total_cmp(&b.distance))
        .unwrap_or_default()
}

fn served_ratio(counts: &Counts) -> f64 {
    if counts.value_offered > 0.0 {
        counts.value / counts.value_offered
    } else {
        1.0
    }
}

fn rejected_ratio(row: &Row) -> f64 {
    row.end.counts.refused as f64 / row.end.counts.offered.max(1) as f64
}
