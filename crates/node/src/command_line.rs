//! The command line of the system's roles.

use crate::flags::{CheckSystem, Front, Status, System, SystemCmd, Why};
use crate::settings::NodeSettings;
use crate::watch::SettingsWatch;
use crate::{core, front, why};
use flexi_logger::{DeferredNow, Logger};
use log::Record;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use woadstall_control::configuration::Configuration;

/// The names of the commands that are of the system.
pub const COMMANDS: [&str; 5] = ["front", "core", "why", "status", "check-system"];
/// How long a control machine may take to answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// Runs the command that the arguments name, if it is one of the system's.
pub fn run() -> Option<ExitCode> {
    let command = std::env::args().nth(1)?;
    if !COMMANDS.contains(&command.as_str()) {
        return None;
    }
    let outcome = match System::from_env_or_exit().subcommand {
        SystemCmd::Front(Front { reports }) => with_settings(|settings, watch| {
            front::run(settings, watch, reports.unwrap_or(0)).map_err(|error| error.to_string())
        }),
        SystemCmd::Why(Why { plot, files }) => {
            why::run(&files, plot.as_deref()).map_err(|error| error.to_string())
        }
        SystemCmd::Core(_) => with_settings(|settings, watch| {
            core::run(&settings, watch).map_err(|error| error.to_string())
        }),
        SystemCmd::Status(Status { address }) => status(&address),
        SystemCmd::CheckSystem(CheckSystem { files }) => check(&files),
    };
    Some(match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woadstall: {error}");
            ExitCode::FAILURE
        }
    })
}

fn with_settings(
    role: impl FnOnce(NodeSettings, SettingsWatch) -> Result<(), String>,
) -> Result<(), String> {
    start_log()?;
    let (settings, watch) = SettingsWatch::load().map_err(|error| error.to_string())?;
    role(settings, watch)
}

/// Lines go to standard error; `RUST_LOG` sets the level.
fn start_log() -> Result<(), String> {
    let logger = Logger::try_with_env_or_str("info").map_err(|error| error.to_string())?;
    let started = logger
        .format(line)
        .log_to_stderr()
        .start()
        .map_err(|error| error.to_string())?;
    // The handle would end the log when dropped.
    std::mem::forget(started);
    Ok(())
}

fn line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
    write!(
        out,
        "{} {} {}",
        now.now().format("%H:%M:%S%.3f"),
        record.level(),
        record.args()
    )
}

fn status(address: &str) -> Result<(), String> {
    let url = format!("http://{address}/v1/status");
    let response = attohttpc::get(url)
        .timeout(PATIENCE)
        .send()
        .map_err(|error| error.to_string())?;
    let text = response.text().map_err(|error| error.to_string())?;
    let value: serde_json::Value =
        serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let pretty = serde_json::to_string_pretty(&value).map_err(|error| error.to_string())?;
    writeln!(std::io::stdout(), "{pretty}").map_err(|error| error.to_string())
}

fn check(files: &[PathBuf]) -> Result<(), String> {
    let faults: Vec<String> = files
        .iter()
        .filter_map(|file| check_file(file).err())
        .collect();
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults.join("\n"))
    }
}

/// A document with routes is a configuration, any other a settings file.
fn check_file(file: &Path) -> Result<(), String> {
    let text = std::fs::read(file).map_err(|error| format!("{}: {error}", file.display()))?;
    let document: serde_json::Value =
        serde_json::from_slice(&text).map_err(|error| format!("{}: {error}", file.display()))?;
    let checked = match document.get("routes") {
        Some(_) => Configuration::read(&document).map(drop),
        None => NodeSettings::from_document(&document).map(drop),
    };
    checked.map_err(|findings| format!("{}:\n{findings}", file.display()))
}
