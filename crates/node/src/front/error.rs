//! Errors that end a front process.

use crate::error::SetupError;
use thiserror::Error;

/// Reason why a front process can't run.
#[derive(Debug, Error)]
pub enum FrontError {
    /// The settings lack this field, which a front process requires.
    #[error("the settings of a front process lack {0}")]
    MissingSetting(&'static str),
    /// The operating system refused to create a socket, a signal handler or the async runtime.
    #[error(transparent)]
    Setup(#[from] SetupError),
}
