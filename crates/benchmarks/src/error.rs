//! What may go wrong in a measurement.

use std::io;
use woadstall_tower::BuildError;

/// Why a measurement could not be made.
#[derive(Debug, thiserror::Error)]
pub enum BenchmarkError {
    /// A process, a file or a socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A peer ended, or began, without the address that it listens on.
    #[error("no address in {line:?}")]
    NoAddress {
        /// Its first line.
        line: String,
    },
    /// A connection over HTTP/1.1 failed.
    #[error(transparent)]
    Http1(#[from] hyper::Error),
    /// A connection over HTTP/2 failed.
    #[error(transparent)]
    Http2(#[from] h2::Error),
    /// A caller's figures, or the endpoint list, are not in their JSON form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The plug-in could not be set up.
    #[error(transparent)]
    Plugin(#[from] BuildError),
    /// A task panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
}
