//! Command line for experiments with emulated fleets.
//!
//! Exit codes:
//!
//! - 0: success.
//! - 1: a run broke a rule or a bound, or the right side of a comparison with `--fail-worse` is significantly worse.
//! - 2: the command line is invalid.
//! - 3: a file or a scenario is invalid.
//! - 130: the command was interrupted; each complete row in the output file is valid.

mod commands;
mod error;
mod print;
mod sweep;

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::error;
use woadstall_emulator::Policy;
use woadstall_emulator_cli::compare::Figure;
use woadstall_emulator_cli::grid::{self, Overrides};
use woadstall_emulator_cli::log::LogFormat;

#[derive(Parser)]
#[command(
    version,
    about = "Experiments over emulated fleets, round the real engine and module"
)]
struct Arguments {
    /// Form of the log lines, which go to standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario once, and print what came of it.
    Run {
        scenario: PathBuf,
        #[command(flatten)]
        overrides: OverrideArguments,
        /// Seed of the random numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Who decides: woadstall, or a rival such as peak-ewma+outlier+budget.
        #[arg(long, default_value = "woadstall")]
        policy: Policy,
        /// Print the row as JSON.
        #[arg(long)]
        json: bool,
        /// Write a report with plots here.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Play scenarios with all combinations of policies, keys and seeds, on all cores. Goes on where a sweep of
    /// the same was stopped.
    Sweep {
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        #[command(flatten)]
        overrides: OverrideArguments,
        /// Values of a key, as in limits.attempts=2,4,6; several of these are combined.
        #[arg(long, value_parser = grid::parse_pair)]
        vary: Vec<(String, String)>,
        /// Seeds, as in 1..10.
        #[arg(long, default_value = "1..10")]
        seeds: String,
        /// Policies, behind commas.
        #[arg(long, value_delimiter = ',', default_value = "woadstall")]
        policies: Vec<Policy>,
        /// Where the rows go, as JSON lines.
        #[arg(long)]
        out: PathBuf,
        /// Keep the timelines, which reports draw: some hundred KB a run.
        #[arg(long)]
        timeline: bool,
        /// Threads; 0 for one a core.
        #[arg(long, default_value_t = 0)]
        threads: usize,
    },
    /// Compare two policies in one file, or two files: differences paired by seed.
    Compare {
        left: PathBuf,
        /// The other file; the same, if it is left out.
        right: Option<PathBuf>,
        /// Policy of the left side; needed where its file has several.
        #[arg(long)]
        left_policy: Option<Policy>,
        /// Policy of the right side.
        #[arg(long)]
        right_policy: Option<Policy>,
        /// What is compared.
        #[arg(long, value_enum, default_value_t = Figure::Score)]
        figure: Figure,
        /// Print JSON.
        #[arg(long)]
        json: bool,
        /// Exit with 1 if the right side's score (or worth served) is surely lower in a scenario.
        #[arg(long)]
        fail_worse: bool,
    },
    /// Write tables and plots of results as one HTML file.
    Report {
        #[arg(required = true)]
        results: Vec<PathBuf>,
        #[arg(long)]
        out: PathBuf,
        /// Write each plot as an SVG file of its own into this folder, too.
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// Tell the story of one call of a run: its number is in a breach.
    Explain {
        scenario: PathBuf,
        call: u64,
        #[command(flatten)]
        overrides: OverrideArguments,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "woadstall")]
        policy: Policy,
    },
    /// Check scenarios.
    Check {
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
}

#[derive(Args)]
struct OverrideArguments {
    /// Set a key of the scenario, as in tier.0.nodos=500 or time=30s.
    #[arg(long, value_parser = grid::parse_pair)]
    set: Vec<(String, String)>,
}

impl OverrideArguments {
    fn to_overrides(&self) -> Overrides {
        self.set.iter().cloned().collect()
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.log.start();
    match execute(arguments.command) {
        Ok(code) => ExitCode::from(code),
        Err(failure) => {
            error!("{failure}");
            ExitCode::from(commands::INVALID_INPUT)
        }
    }
}

/// Executes a command and returns its exit code.
fn execute(command: Command) -> Result<u8, error::CommandError> {
    match command {
        Command::Run {
            scenario,
            overrides,
            seed,
            policy,
            json,
            plot,
        } => commands::run(
            &scenario,
            &overrides.to_overrides(),
            policy,
            seed,
            commands::output(json),
            plot.as_deref(),
        ),
        Command::Sweep {
            scenarios,
            overrides,
            vary,
            seeds,
            policies,
            out,
            timeline,
            threads,
        } => {
            let override_sets = grid::combinations(&overrides.to_overrides(), &vary);
            let options = sweep::Options {
                output_path: out,
                timeline,
                threads,
            };
            commands::sweep(&scenarios, &override_sets, &policies, &seeds, &options)
        }
        Command::Compare {
            left,
            right,
            left_policy,
            right_policy,
            figure,
            json,
            fail_worse,
        } => {
            let right = right.unwrap_or_else(|| left.clone());
            let sides = [(left, left_policy), (right, right_policy)];
            let differences = commands::compare(sides, figure, commands::output(json))?;
            let is_failure = fail_worse && commands::is_any_worse(&differences, figure);
            Ok(u8::from(is_failure))
        }
        Command::Report { results, out, svg } => commands::report(&results, &out, svg.as_deref()),
        Command::Explain {
            scenario,
            call,
            overrides,
            seed,
            policy,
        } => commands::explain(&scenario, &overrides.to_overrides(), policy, seed, call),
        Command::Check { scenarios } => commands::check(&scenarios),
    }
}
