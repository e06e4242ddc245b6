//! The subcommands. Each subcommand returns the exit code of the program. A [`CommandError`] is logged and leads to
//! exit code 3.

mod compare;
mod run;

use crate::arguments::Command;
use std::path::PathBuf;
use tracing::warn;
use woadstall_cluster_test::launch::{ProcessLimits, launch};
use woadstall_cluster_test::{check_supported, remove_leftovers};
use woadstall_emulator_cli::grid::{Overrides, ScenarioFile};

/// An invalid file, scenario or program.
pub type CommandError = Box<dyn std::error::Error>;

/// Executes a subcommand and returns the exit code.
pub fn execute(command: Command) -> Result<u8, CommandError> {
    match command {
        Command::Run(arguments) => run::run(arguments),
        Command::Compare(arguments) => compare::compare(&arguments),
        Command::Check { scenarios } => check(&scenarios),
        Command::Clean => {
            let count = clean()?;
            println!("{count} earlier runs had left something behind");
            Ok(0)
        }
        Command::Launch {
            parent,
            sockets,
            memory_mb,
            program,
        } => Err(launch(
            parent,
            ProcessLimits {
                max_open_files: sockets,
                max_data_mib: memory_mb,
            },
            &program,
        )
        .into()),
    }
}

fn check(scenarios: &[PathBuf]) -> Result<u8, CommandError> {
    for path in scenarios {
        let (scenario, _) = ScenarioFile::read(path)?.with(&Overrides::new())?;
        check_supported(&scenario).map_err(|error| format!("{}: {error}", path.display()))?;
        println!("{}: can be played", path.display());
    }
    Ok(0)
}

/// Kills leftover processes and removes leftover directories of earlier runs. Returns the number of these runs.
fn clean() -> Result<usize, CommandError> {
    let leftovers = remove_leftovers(&std::env::temp_dir())?;
    for leftover in &leftovers {
        warn!(
            folder = %leftover.directory.display(),
            killed = leftover.processes.len(),
            "removed leftover directory and processes of an earlier run"
        );
    }
    Ok(leftovers.len())
}
