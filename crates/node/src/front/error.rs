//! The error that a front process ends with.

use crate::error::SetupError;
use thiserror::Error;

/// A front process can't run.
#[derive(Debug, Error)]
pub enum FrontError {
    /// The settings lack a field that this process needs.
    #[error("the settings of a front process lack {0}")]
    MissingSetting(&'static str),
    /// The operating system refused a socket, a signal handler or the runtime.
    #[error(transparent)]
    Setup(#[from] SetupError),
}
