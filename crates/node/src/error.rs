//! The error that starting either process can end with.

use std::io;
use thiserror::Error;

/// The operating system refused something that a process needs at its start.
#[derive(Debug, Error)]
#[error("{operation}: {source}")]
pub struct SetupError {
    /// What was tried.
    operation: String,
    /// The operating system's answer.
    source: io::Error,
}

impl SetupError {
    /// Wraps the error of an operation; made for `map_err`.
    pub(crate) fn during(operation: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let operation = operation.into();
        move |source| Self { operation, source }
    }
}
