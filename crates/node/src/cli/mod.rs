//! The commands of the serving system: the two processes, and tools for operators.

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

/// The names of the system's commands.
pub const COMMANDS: [&str; 5] = ["front", "core", "why", "status", "check-system"];

/// A command has failed.
#[derive(Debug, Error)]
enum CommandError {
    /// The log can't be started.
    #[error(transparent)]
    Log(#[from] FlexiLoggerError),
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The front process can't run.
    #[error(transparent)]
    Front(#[from] FrontError),
    /// The core process can't run.
    #[error(transparent)]
    Core(#[from] CoreError),
    /// Reports can't be summarized.
    #[error(transparent)]
    Why(#[from] WhyError),
    /// A control machine's status can't be shown.
    #[error(transparent)]
    Status(#[from] StatusError),
    /// Files are invalid.
    #[error(transparent)]
    Check(#[from] InvalidFiles),
}

/// Runs the command that the process's arguments name; `None` if it is none of the system's. Prints
/// an error to standard error, and ends the process itself if the arguments can't be parsed.
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

/// What both processes begin with: the log, and the settings.
fn start_process() -> Result<(NodeSettings, SettingsWatcher), CommandError> {
    logging::start()?;
    Ok(SettingsWatcher::load()?)
}
