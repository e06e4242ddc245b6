//! The `run` subcommand: executes a scenario and prints the result.

use super::{CommandError, clean};
use crate::arguments::RunArguments;
use std::path::PathBuf;
use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};
use tracing::{info, warn};
use woadstall_cluster_test::{
    ClusterResult, Options, RunError, check_supported, results, run as run_scenario,
};
use woadstall_emulator::Scenario;
use woadstall_emulator_cli::grid::{Overrides, RunKey, ScenarioFile};
use woadstall_emulator_cli::report::{self, FaultBand};
use woadstall_emulator_cli::rows::Row;

const EXIT_FAILED: u8 = 1;
const EXIT_TOO_SLOW: u8 = 4;
const EXIT_INTERRUPTED: u8 = 130;
/// Policy name in the result rows of cluster runs; the emulator's rows name one of its policies there.
const ROW_POLICY: &str = "rig";

pub fn run(arguments: RunArguments) -> Result<u8, CommandError> {
    let set: Overrides = arguments.set.iter().cloned().collect();
    let (scenario, digest) = ScenarioFile::read(&arguments.scenario)?.with(&set)?;
    check_supported(&scenario)?;
    clean()?;
    let options = options(&arguments)?;
    let outcome = execute(scenario.clone(), &options)?;
    if options.show_progress {
        eprintln!();
    }
    let result = match outcome {
        None => return Ok(EXIT_INTERRUPTED),
        Some(Err(RunError::TooSlow { startup_time })) => {
            warn_too_slow(&RunError::TooSlow { startup_time }.to_string());
            return Ok(EXIT_TOO_SLOW);
        }
        Some(result) => result?,
    };
    let key = RunKey {
        scenario: scenario.name.clone(),
        digest,
        set,
        policy: ROW_POLICY.into(),
        seed: arguments.seed,
    };
    let row = Row::new(key, result.run_result.clone(), Some(result.lag.clone()));
    write_results(&arguments, &scenario, &result, row)?;
    Ok(exit_code(&result))
}

fn options(arguments: &RunArguments) -> Result<Options, CommandError> {
    let program = match &arguments.program {
        Some(program) => program.clone(),
        None => sibling_program()?,
    };
    let program = program
        .canonicalize()
        .map_err(|error| format!("{}: {error}", program.display()))?;
    Ok(Options {
        program,
        launcher: std::env::current_exe()?,
        seed: arguments.seed,
        rule_violation: arguments.violation,
        keep_logs: arguments.keep,
        show_progress: !arguments.json,
    })
}

/// Returns the `woadstall` binary in the directory of this executable.
fn sibling_program() -> Result<PathBuf, CommandError> {
    let program = std::env::current_exe()?.with_file_name("woadstall");
    if program.is_file() {
        return Ok(program);
    }
    Err(format!(
        "{}: file not found; build it with `cargo build --release`, or set its path with `--program`",
        program.display()
    )
    .into())
}

/// Executes a scenario. Returns `None` if SIGTERM or SIGINT interrupted the run.
fn execute(
    scenario: Scenario,
    options: &Options,
) -> Result<Option<Result<ClusterResult, RunError>>, CommandError> {
    let runtime = Runtime::new()?;
    runtime.block_on(async {
        let mut terminated = signal(SignalKind::terminate())?;
        let mut interrupted = signal(SignalKind::interrupt())?;
        // Dropping the future of the run kills all its processes.
        tokio::select! {
            result = run_scenario(scenario, options) => Ok(Some(result)),
            _ = terminated.recv() => Ok(None),
            _ = interrupted.recv() => Ok(None),
        }
    })
}

fn write_results(
    arguments: &RunArguments,
    scenario: &Scenario,
    result: &ClusterResult,
    row: Row,
) -> Result<(), CommandError> {
    if arguments.json {
        println!("{}", results::json(result, &row));
    } else {
        print!("{}", results::text(result, &row));
    }
    if let Some(out) = &arguments.out {
        row.append(out)?;
    }
    if let Some(plot) = &arguments.plot {
        report::write(plot, &report::page(&[row], &FaultBand::of(scenario))?)?;
    }
    if let Some(logs) = &result.log_directory {
        info!(folder = %logs.display(), "kept the log files of the processes");
    }
    Ok(())
}

fn exit_code(result: &ClusterResult) -> u8 {
    if let Some(reason) = result.too_slow() {
        warn_too_slow(&reason);
        return EXIT_TOO_SLOW;
    }
    if result.is_passed() { 0 } else { EXIT_FAILED }
}

fn warn_too_slow(reason: &str) {
    warn!(reason, "machine too slow; no verdict");
}
