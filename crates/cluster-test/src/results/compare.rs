//! Step-by-step comparison of a cluster run with the emulator's run of the same scenario.

use woadstall_emulator::Counts;
use woadstall_emulator_cli::rows::Row;

/// The values of one figure in both runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FigurePair {
    /// Value in the emulator's run.
    pub emulator: f64,
    /// Value in the cluster run.
    pub processes: f64,
}

impl FigurePair {
    /// Returns the absolute difference of both values.
    fn distance(&self) -> f64 {
        (self.emulator - self.processes).abs()
    }
}

/// Served shares of both runs in one timeline step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepShares {
    /// The end of the step, in seconds.
    pub until_s: f64,
    /// Share of the value offered in the step that was served, from 0 to 1.
    pub served: FigurePair,
}

/// The timeline step with the largest difference between the runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorstStep {
    /// The end of the step, in seconds.
    pub until_s: f64,
    /// Absolute difference of the shares served in the step.
    pub distance: f64,
}

/// Comparison of two runs of one scenario.
#[derive(Debug)]
pub struct Comparison {
    /// Steps that both timelines contain, in order.
    pub steps: Vec<StepShares>,
    /// Mean over all steps of the absolute difference of the served shares.
    pub mean_distance: f64,
    /// Step with the largest difference of the served shares.
    pub worst_step: WorstStep,
    /// Share of the offered value that was served over the whole run, from 0 to 1.
    pub served: FigurePair,
    /// Share of the offered calls that were finally rejected, from 0 to 1.
    pub rejected: FigurePair,
}

/// A reason why two result rows cannot be compared.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CompareError {
    /// The rows belong to different scenarios or to different versions of a scenario.
    #[error("rows of different scenarios or scenario versions: {emulator} and {processes}")]
    DifferentScenarios {
        /// Scenario name of the emulator's row.
        emulator: String,
        /// Scenario name of the cluster run's row.
        processes: String,
    },
    /// At least one of the rows has no timeline.
    #[error(
        "row without a timeline; write rows with `woadstall-emulator-cli run --json` and `woadstall-cluster-test run --out`"
    )]
    NoTimeline,
}

/// Compares the emulator's row with the cluster run's row.
///
/// # Errors
///
/// If the rows belong to different scenarios, or a row has no timeline.
pub fn compare(emulator: &Row, processes: &Row) -> Result<Comparison, CompareError> {
    let scenario_version = |row: &Row| (row.key.scenario.clone(), row.key.digest.clone());
    if scenario_version(emulator) != scenario_version(processes) {
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

/// Returns the step with the largest difference; the last one if several steps have the same difference.
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
