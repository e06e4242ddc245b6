//! The commands. Each command returns its exit code or an error; `main` logs the error and exits with
//! [`INVALID_INPUT`].

use crate::error::CommandError;
use crate::print;
use crate::sweep::{self, Options};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tracing::{info, warn};
use woadstall_emulator::{Policy, Simulation};
use woadstall_emulator_cli::compare::{self, Difference, Figure};
use woadstall_emulator_cli::grid::{self, Job, Overrides, ScenarioFile};
use woadstall_emulator_cli::report::{self, FaultBand};
use woadstall_emulator_cli::rows::{self, Row};

/// Exit code for an invalid file or scenario.
pub const INVALID_INPUT: u8 = 3;

/// Exit code of an interrupted command: 128 plus the number of SIGINT.
const INTERRUPTED: u8 = 130;

const NANOS_PER_SECOND: f64 = 1e9;

/// The format of a command's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Tables for people.
    Text,
    /// JSON for programs.
    Json,
}

/// Returns the output format selected by the option `--json`.
pub fn output(json: bool) -> Output {
    if json { Output::Json } else { Output::Text }
}

/// Runs a scenario once and prints the result row.
pub fn run(
    scenario: &Path,
    set: &Overrides,
    policy: Policy,
    seed: u64,
    output: Output,
    plot: Option<&Path>,
) -> Result<u8, CommandError> {
    let (scenario, digest) = ScenarioFile::read(scenario)?.with(set)?;
    let job = Job {
        scenario,
        digest,
        set: set.clone(),
        policy,
        seed,
    };
    let row = Row::run(&job, plot.is_some() || output == Output::Json);
    match output {
        Output::Json => println!("{}", row.line()?),
        Output::Text => print::row(&row),
    }
    let is_satisfied = row.end.is_satisfied();
    if let Some(plot) = plot {
        let page = report::page(&[row], &FaultBand::of(&job.scenario))?;
        report::write(plot, &page)?;
    }
    Ok(u8::from(!is_satisfied))
}

/// Runs all combinations of scenarios, overrides, policies and seeds that have no row in the output file yet.
pub fn sweep(
    scenarios: &[PathBuf],
    override_sets: &[Overrides],
    policies: &[Policy],
    seeds: &str,
    options: &Options,
) -> Result<u8, CommandError> {
    let sources = scenarios
        .iter()
        .map(|path| ScenarioFile::read(path))
        .collect::<Result<Vec<_>, _>>()?;
    let jobs = grid::jobs(
        &sources,
        override_sets,
        policies,
        &grid::parse_seeds(seeds)?,
    )?;
    let stop = Arc::new(AtomicBool::new(false));
    let handler_stop = stop.clone();
    ctrlc::set_handler(move || handler_stop.store(true, Ordering::Relaxed))?;
    let outcome = sweep::sweep(&jobs, options, &stop)?;
    let (rows, before) = (outcome.rows, outcome.existing_rows);
    if rows < jobs.len() {
        warn!(
            rows,
            of = jobs.len(),
            "sweep interrupted; the same command resumes it"
        );
        return Ok(INTERRUPTED);
    }
    info!(rows, before, broken = outcome.breaches, file = %options.output_path.display(), "done");
    Ok(u8::from(outcome.breaches > 0))
}

/// Compares the rows of one policy in one file with those of one policy in another file, and prints the differences.
pub fn compare(
    [(left, left_policy), (right, right_policy)]: [(PathBuf, Option<Policy>); 2],
    figure: Figure,
    output: Output,
) -> Result<Vec<Difference>, CommandError> {
    let (left_rows, right_rows) = (rows::read(&left)?, rows::read(&right)?);
    let left = rows_of_policy(&left_rows, left_policy)?;
    let right = rows_of_policy(&right_rows, right_policy)?;
    let differences = compare::compare(&left, &right, figure)?;
    match output {
        Output::Json => println!("{}", serde_json::to_string(&differences)?),
        Output::Text => print::differences(&differences),
    }
    Ok(differences)
}

/// Returns whether the right side is worse in any scenario with 95% confidence.
pub fn is_any_worse(differences: &[Difference], figure: Figure) -> bool {
    let is_higher_better = matches!(figure, Figure::Score | Figure::Served);
    let is_worse = |difference: &Difference| {
        difference.is_significant() && (difference.difference < 0.0) == is_higher_better
    };
    differences.iter().any(is_worse)
}

/// Returns the rows of `policy`. Without a policy, all rows must have the same policy, and all rows are returned.
fn rows_of_policy(rows: &[Row], policy: Option<Policy>) -> Result<Vec<&Row>, CommandError> {
    let policy = policy.map(|policy| policy.to_string());
    let has_policy = |row: &&Row| {
        policy
            .as_ref()
            .is_none_or(|policy| *policy == row.key.policy)
    };
    let chosen: Vec<&Row> = rows.iter().filter(has_policy).collect();
    let first = chosen.first().ok_or(CommandError::NoRows)?;
    match chosen.iter().find(|row| row.key.policy != first.key.policy) {
        Some(other) => Err(CommandError::SeveralPolicies {
            first: first.key.policy.clone(),
            other: other.key.policy.clone(),
        }),
        None => Ok(chosen),
    }
}

/// Writes the HTML report of the results, and each plot as an SVG file into the folder `svg` if one is given.
pub fn report(
    results: &[PathBuf],
    output_path: &Path,
    svg: Option<&Path>,
) -> Result<u8, CommandError> {
    let rows = results
        .iter()
        .map(|path| rows::read(path))
        .collect::<Result<Vec<_>, _>>()?
        .concat();
    let page = report::page(&rows, &[])?;
    report::write(output_path, &page)?;
    if let Some(folder) = svg {
        std::fs::create_dir_all(folder).map_err(|source| CommandError::CreateFolder {
            path: folder.display().to_string(),
            source,
        })?;
        for (number, plot) in (1..).zip(report::svgs(&page)) {
            report::write(&folder.join(format!("plot-{number:03}.svg")), plot)?;
        }
    }
    Ok(0)
}

/// Runs a scenario and prints the trace of one call.
pub fn explain(
    scenario: &Path,
    set: &Overrides,
    policy: Policy,
    seed: u64,
    call: u64,
) -> Result<u8, CommandError> {
    let (scenario, _) = ScenarioFile::read(scenario)?.with(set)?;
    let mut simulation = Simulation::new(&scenario, policy, seed);
    simulation.trace_call(call);
    let result = simulation.run();
    if result.call_trace.is_empty() {
        return Err(CommandError::NoCall { call });
    }
    for (time, text) in &result.call_trace {
        println!("{:>12.6} s  {text}", *time as f64 / NANOS_PER_SECOND);
    }
    Ok(0)
}

/// Checks that each scenario file is valid.
pub fn check(scenarios: &[PathBuf]) -> Result<u8, CommandError> {
    for path in scenarios {
        ScenarioFile::read(path)?;
        println!("{}: sound", path.display());
    }
    Ok(0)
}
