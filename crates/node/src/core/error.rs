//! The error that a core process ends with.

use crate::error::SetupError;
use thiserror::Error;
use woadstall_storage::{OpenError, WriteError};

/// A core process can't run.
#[derive(Debug, Error)]
pub enum CoreError {
    /// The settings lack a field that this process needs.
    #[error("the settings of a core process lack {0}")]
    MissingSetting(&'static str),
    /// The storage of the replicated log can't be opened.
    #[error("storage: {0}")]
    OpenStorage(#[from] OpenError),
    /// The first state of the replica can't be stored.
    #[error("storage: {0}")]
    InitializeStorage(#[from] WriteError),
    /// The operating system refused a socket, a signal handler or the runtime.
    #[error(transparent)]
    Setup(#[from] SetupError),
}
