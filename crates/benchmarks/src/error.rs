//! The error type of the benchmarks.

use std::io;
use woadstall_tower::BuildError;

/// The reason why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum BenchmarkError {
    /// A process, a file or a socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The first line of a peer's output does not end with the peer's address, or the peer ended without output.
    #[error("the first line of a peer's output has no listen address: {line:?}")]
    NoAddress {
        /// The first line of the peer's output.
        line: String,
    },
    /// A connection over HTTP/1.1 failed.
    #[error(transparent)]
    Http1(#[from] hyper::Error),
    /// A connection over HTTP/2 failed.
    #[error(transparent)]
    Http2(#[from] h2::Error),
    /// The measurement of a caller or the endpoint list is not valid JSON of the expected form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The plug-in could not be set up.
    #[error(transparent)]
    Plugin(#[from] BuildError),
    /// A task panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
}
