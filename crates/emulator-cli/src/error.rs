//! The error type of the commands.

use crate::sweep::SweepError;
use std::io;
use woadstall_emulator_cli::compare::CompareError;
use woadstall_emulator_cli::report::ReportError;
use woadstall_emulator_cli::rows::RowError;
use woadstall_emulator_cli::{ArgumentError, ScenarioFileError};

/// The reason why a command failed; the message names the file or the argument.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A scenario could not be read.
    #[error(transparent)]
    Scenario(#[from] ScenarioFileError),
    /// A command-line argument is malformed.
    #[error(transparent)]
    Argument(#[from] ArgumentError),
    /// Result rows could not be read.
    #[error(transparent)]
    Rows(#[from] RowError),
    /// A sweep failed.
    #[error(transparent)]
    Sweep(#[from] SweepError),
    /// The two sets of rows cannot be compared.
    #[error(transparent)]
    Compare(#[from] CompareError),
    /// A report could not be written.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// A result could not be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The handler for interrupts could not be installed.
    #[error(transparent)]
    Signal(#[from] ctrlc::Error),
    /// One side of a comparison has no rows of the chosen policy.
    #[error("no rows of that policy")]
    NoRows,
    /// One side of a comparison has rows of several policies, and the command line chooses none of the policies.
    #[error("rows of {first} and {other}: name one")]
    SeveralPolicies {
        /// The policy of the first row.
        first: String,
        /// The first policy that differs from the policy of the first row.
        other: String,
    },
    /// The folder for the plots could not be created.
    #[error("{path}: {source}")]
    CreateFolder {
        /// Path of the folder.
        path: String,
        /// Error of the failed system call.
        source: io::Error,
    },
    /// The run has no call with the requested number.
    #[error("there is no call {call} in this run")]
    NoCall {
        /// Number of the requested call.
        call: u64,
    },
}
