//! Scenarios with many processes of the program, and faults between them.
//!
//! Exit codes: 0 passed; 1 a rule or a bound was broken, a process crashed, or `compare` found the two too far
//! apart; 2 the command line is wrong; 3 a file, a scenario or a program is; 4 the machine was too slow, so that
//! there is no verdict; 130 interrupted.

mod arguments;
mod commands;

use arguments::Arguments;
use clap::Parser;
use std::process::ExitCode;
use tracing::error;

/// A file, a scenario or a program is wrong.
const INVALID_INPUT: u8 = 3;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.log.start();
    match commands::execute(arguments.command) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            error!("{error}");
            ExitCode::from(INVALID_INPUT)
        }
    }
}
