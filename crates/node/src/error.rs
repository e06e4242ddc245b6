//! Errors during the start of a process.

use std::io;
use thiserror::Error;

/// Failure of a system call that a process needs at its start.
#[derive(Debug, Error)]
#[error("{operation}: {source}")]
pub struct SetupError {
    /// Operation that failed, in the words of the error message.
    operation: String,
    /// Error returned by the operating system.
    source: io::Error,
}

impl SetupError {
    /// Returns a function for `map_err` that adds the name of the failed operation to an I/O error.
    pub(crate) fn during(operation: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let operation = operation.into();
        move |source| Self { operation, source }
    }
}
