//! The error that a core process ends with.

use crate::error::SetupError;
use thiserror::Error;
use woadstall_storage::StorageError;

/// A core process can't run.
#[derive(Debug, Error)]
pub enum CoreError {
    /// The settings lack a field that this process needs.
    #[error("the settings of a core process lack {0}")]
    MissingSetting(&'static str),
    /// The storage of the replicated log can't be opened.
    #[error("storage: {0}")]
    Storage(#[from] StorageError),
    /// The operating system refused a socket, a signal handler or the runtime.
    #[error(transparent)]
    Setup(#[from] SetupError),
}
