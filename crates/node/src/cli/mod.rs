//! Commands of the serving system: the `front` and `core` processes and tools for operators.

mod arguments;
mod check;
mod logging;
mod status;
mod why;

use crate::core::{self, CoreError};
use crate::front::{self, FrontError};
use crate::settings::{NodeSettings, SettingsError, SettingsWatcher};
use arguments::{CheckSystem, Front, Status, System, SystemCmd, Why};
use check::InvalidFiles;
use flexi_logger::FlexiLoggerError;
use status::StatusError;
use std::process::ExitCode;
use thiserror::Error;
use why::WhyError;

/// Names of the commands that [`run`] handles.
pub const COMMANDS: [&str; 5] = ["front", "core", "why", "status", "check-system"];

/// Reason why a command has failed.
#[derive(Debug, Error)]
enum CommandError {
    /// The logger can't be started.
    #[error(transparent)]
    Log(#[from] FlexiLoggerError),
    /// The settings can't be read or are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The front process has failed.
    #[error(transparent)]
    Front(#[from] FrontError),
    /// The core process has failed.
    #[error(transparent)]
    Core(#[from] CoreError),
    /// The request reports can't be summarized.
    #[error(transparent)]
    Why(#[from] WhyError),
    /// The status of a control machine can't be retrieved or printed.
    #[error(transparent)]
    Status(#[from] StatusError),
    /// Checked files are invalid.
    #[error(transparent)]
    Check(#[from] InvalidFiles),
}

/// Runs the command given by the process's arguments. Returns `None` if the first argument is not
/// one of [`COMMANDS`]. Prints errors to standard error. Exits the process if the arguments can't
/// be parsed.
pub fn run() -> Option<ExitCode> {
    let command = std::env::args().nth(1)?;
    if !COMMANDS.contains(&command.as_str()) {
        return None;
    }
    Some(match run_command(System::from_env_or_exit().subcommand) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woadstall: {error}");
            ExitCode::FAILURE
        }
    })
}

fn run_command(command: SystemCmd) -> Result<(), CommandError> {
    match command {
        SystemCmd::Front(Front { reports }) => {
            let (settings, watcher) = start_process()?;
            front::run(settings, watcher, reports.unwrap_or(0))?;
        }
        SystemCmd::Core(_) => {
            let (settings, watcher) = start_process()?;
            core::run(&settings, watcher)?;
        }
        SystemCmd::Why(Why { plot, files }) => why::run(&files, plot.as_deref())?,
        SystemCmd::Status(Status { address }) => status::run(&address)?,
        SystemCmd::CheckSystem(CheckSystem { files }) => check::run(&files)?,
    }
    Ok(())
}

/// Starts the logger and loads the settings of a `front` or `core` process.
fn start_process() -> Result<(NodeSettings, SettingsWatcher), CommandError> {
    logging::start()?;
    Ok(SettingsWatcher::load()?)
}
