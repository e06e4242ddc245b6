//! Errors that end a core process.

use crate::error::SetupError;
use thiserror::Error;
use woadstall_storage::{OpenError, WriteError};

/// Reason why a core process can't run.
#[derive(Debug, Error)]
pub enum CoreError {
    /// The settings lack this field, which a core process requires.
    #[error("the settings of a core process lack {0}")]
    MissingSetting(&'static str),
    /// The storage of the replicated log can't be opened.
    #[error("storage: {0}")]
    OpenStorage(#[from] OpenError),
    /// The initial state of the replica can't be written to an empty storage.
    #[error("storage: {0}")]
    InitializeStorage(#[from] WriteError),
    /// The operating system refused to create a socket, a signal handler or the async runtime.
    #[error(transparent)]
    Setup(#[from] SetupError),
}
