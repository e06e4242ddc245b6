//! Command-line program that runs scenarios against a cluster of load-balancer processes.
//!
//! Exit codes:
//! - 0: the run passed.
//! - 1: a rule or a bound was violated, a process crashed, or `compare` found a difference above its limit.
//! - 2: the command line is invalid.
//! - 3: a file, a scenario or a program is invalid.
//! - 4: the machine was too slow for a verdict.
//! - 130: the run was interrupted.

mod arguments;
mod commands;

use arguments::Arguments;
use clap::Parser;
use std::process::ExitCode;
use tracing::error;

/// Exit code for an invalid file, scenario or program.
const EXIT_INVALID_INPUT: u8 = 3;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.log.start();
    match commands::execute(arguments.command) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            error!("{error}");
            ExitCode::from(EXIT_INVALID_INPUT)
        }
    }
}
