//! Command-line arguments.

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use woadstall_cluster_test::RuleViolation;
use woadstall_emulator_cli::grid;
use woadstall_emulator_cli::log::LogFormat;

#[derive(Parser)]
#[command(
    version,
    about = "Scenarios with many processes of the program, and faults to them and between them"
)]
pub struct Arguments {
    /// Form of the log lines, which go to standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log: LogFormat,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Play a scenario, and print what came of it.
    Run(RunArguments),
    /// Put a scenario's rows of the lab and of the rig side by side.
    Compare(CompareArguments),
    /// Check whether scenarios can be played here.
    Check {
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
    /// End what earlier runs have left behind, if any.
    Clean,
    /// What the rig starts its processes by.
    #[command(hide = true)]
    Launch {
        #[arg(long)]
        parent: i32,
        #[arg(long)]
        sockets: u64,
        #[arg(long)]
        memory_mb: u64,
        program: PathBuf,
    },
}

#[derive(Args)]
pub struct RunArguments {
    pub scenario: PathBuf,
    /// Set a key of the scenario, as in time=10s.
    #[arg(long, value_parser = grid::parse_pair)]
    pub set: Vec<(String, String)>,
    /// Seed of the random numbers: calls and faults come as in the lab's run of this seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The program; the `woadstall` beside this one, if it is left out.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Break a rule on purpose.
    #[arg(long = "sabotage", value_name = "SABOTAGE", value_enum)]
    pub violation: Option<RuleViolation>,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
    /// Write a page with the time line here.
    #[arg(long)]
    pub plot: Option<PathBuf>,
    /// Append the row, as the lab writes them, to this file.
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// Keep the processes' logs also where all went well.
    #[arg(long)]
    pub keep: bool,
}

#[derive(Args)]
pub struct CompareArguments {
    #[arg(value_name = "LAB")]
    pub emulator: PathBuf,
    #[arg(value_name = "RIG")]
    pub processes: PathBuf,
    /// How far apart the parts of the worth served may be on average.
    #[arg(long, default_value_t = 0.05)]
    pub within: f64,
    /// Write a page with both time lines here.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}
