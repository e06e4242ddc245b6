//! Why a command could not be executed.

use crate::sweep::SweepError;
use std::io;
use woadstall_emulator_cli::compare::CompareError;
use woadstall_emulator_cli::report::ReportError;
use woadstall_emulator_cli::rows::RowError;
use woadstall_emulator_cli::{ArgumentError, ScenarioFileError};

/// Why a command could not be executed; the text names the file or the argument.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A scenario could not be read.
    #[error(transparent)]
    Scenario(#[from] ScenarioFileError),
    /// An argument is of another form.
    #[error(transparent)]
    Argument(#[from] ArgumentError),
    /// Rows could not be read.
    #[error(transparent)]
    Rows(#[from] RowError),
    /// A sweep failed.
    #[error(transparent)]
    Sweep(#[from] SweepError),
    /// Two sides cannot be compared.
    #[error(transparent)]
    Compare(#[from] CompareError),
    /// A report could not be written.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// A result has no JSON form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Interrupts could not be caught.
    #[error(transparent)]
    Signal(#[from] ctrlc::Error),
    /// A side has no rows of the policy.
    #[error("no rows of that policy")]
    NoRows,
    /// A side has rows of several policies, and none is named.
    #[error("rows of {first} and {other}: name one")]
    SeveralPolicies {
        /// The policy of its first row.
        first: String,
        /// Another.
        other: String,
    },
    /// The folder of the plots could not be made.
    #[error("{path}: {source}")]
    CreateFolder {
        /// Path of the folder.
        path: String,
        /// The failed system call.
        source: io::Error,
    },
    /// The run has fewer calls.
    #[error("there is no call {call} in this run")]
    NoCall {
        /// The call's number.
        call: u64,
    },
}
