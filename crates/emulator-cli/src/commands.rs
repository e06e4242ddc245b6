//! The commands. Each returns the exit code, or an error, which is logged and ends with [`INVALID_INPUT`].

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

/// Exit code where a file or a scenario is at fault.
pub const INVALID_INPUT: u8 = 3;

/// Exit code where a command was interrupted (128 and SIGINT).
const INTERRUPTED: u8 = 130;

/// Nanoseconds of a second.
const NANOS_PER_SECOND: f64 = 1e9;

/// The form of what a command prints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Tables for people.
    Text,
    /// JSON for programs.
    Json,
}

/// The form that the option `--json` stands for.
pub fn output(json: bool) -> Output {
    if json { Output::Json } else { Output::Text }
}

/// Plays a scenario once, and prints its row.
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

/// Plays all combinations whose rows are not in the file yet.
pub fn sweep(
    scenarios: &[PathBuf],
    sets: &[Overrides],
    policies: &[Policy],
    seeds: &str,
    options: &Options,
) -> Result<u8, CommandError> {
    let sources = scenarios
        .iter()
        .map(|path| ScenarioFile::read(path))
        .collect::<Result<Vec<_>, _>>()?;
    let jobs = grid::jobs(&sources, sets, policies, &grid::parse_seeds(seeds)?)?;
    let stop = Arc::new(AtomicBool::new(false));
    let stopping = stop.clone();
    ctrlc::set_handler(move || stopping.store(true, Ordering::Relaxed))?;
    let outcome = sweep::sweep(&jobs, options, &stop)?;
    let (rows, before) = (outcome.rows, outcome.before);
    if rows < jobs.len() {
        warn!(
            rows,
            of = jobs.len(),
            "stopped; the same command goes on from here"
        );
        return Ok(INTERRUPTED);
    }
    info!(rows, before, broken = outcome.broken, file = %options.out.display(), "done");
    Ok(u8::from(outcome.broken > 0))
}

/// Compares the rows of two files, of one policy each, and prints the differences.
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

/// Whether the right side is surely worse in a scenario.
pub fn is_any_worse(differences: &[Difference], figure: Figure) -> bool {
    let is_more_better = matches!(figure, Figure::Score | Figure::Served);
    let is_worse = |row: &Difference| row.is_sure() && (row.difference < 0.0) == is_more_better;
    differences.iter().any(is_worse)
}

/// The rows of a policy; where none is named, of the only one that there is.
fn rows_of_policy(rows: &[Row], policy: Option<Policy>) -> Result<Vec<&Row>, CommandError> {
    let policy = policy.map(|policy| policy.to_string());
    let is_chosen = |row: &&Row| {
        policy
            .as_ref()
            .is_none_or(|policy| *policy == row.key.policy)
    };
    let chosen: Vec<&Row> = rows.iter().filter(is_chosen).collect();
    let first = chosen.first().ok_or(CommandError::NoRows)?;
    match chosen.iter().find(|row| row.key.policy != first.key.policy) {
        Some(other) => Err(CommandError::SeveralPolicies {
            first: first.key.policy.clone(),
            other: other.key.policy.clone(),
        }),
        None => Ok(chosen),
    }
}

/// Writes a page of results, and its plots as files of their own into a folder.
pub fn report(results: &[PathBuf], out: &Path, svg: Option<&Path>) -> Result<u8, CommandError> {
    let rows = results
        .iter()
        .map(|path| rows::read(path))
        .collect::<Result<Vec<_>, _>>()?
        .concat();
    let page = report::page(&rows, &[])?;
    report::write(out, &page)?;
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

/// Plays a scenario and prints what happened to one call.
pub fn explain(
    scenario: &Path,
    set: &Overrides,
    policy: Policy,
    seed: u64,
    call: u64,
) -> Result<u8, CommandError> {
    let (scenario, _) = ScenarioFile::read(scenario)?.with(set)?;
    let mut world = Simulation::new(&scenario, policy, seed);
    world.trace_call(call);
    let result = world.run();
    if result.call_trace.is_empty() {
        return Err(CommandError::NoCall { call });
    }
    for (at, text) in &result.call_trace {
        println!("{:>12.6} s  {text}", *at as f64 / NANOS_PER_SECOND);
    }
    Ok(0)
}

/// Checks scenarios.
pub fn check(scenarios: &[PathBuf]) -> Result<u8, CommandError> {
    for path in scenarios {
        ScenarioFile::read(path)?;
        println!("{}: sound", path.display());
    }
    Ok(0)
}
