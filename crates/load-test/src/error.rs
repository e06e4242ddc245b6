//! The error type of a run.

use crate::supported::UnsupportedScenario;
use std::io;
use woadstall_tower::BuildError;

/// The reason why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The scenario cannot be run on sockets.
    #[error(transparent)]
    Unsupported(#[from] UnsupportedScenario),
    /// An upstream could not listen.
    #[error("cannot start the nodos: {0}")]
    StartUpstreams(#[source] io::Error),
    /// The configuration of a daemon is invalid, or the daemon could not start.
    #[error("{0}")]
    Daemon(String),
    /// The async runtime on a daemon's thread could not be built.
    #[error(transparent)]
    DaemonRuntime(io::Error),
    /// The thread of a daemon ended before it reported its address.
    #[error("the thread of a daemon ended before the daemon started")]
    DaemonThreadEnded,
    /// The initial endpoint list of a plug-in is invalid.
    #[error(transparent)]
    KnownList(#[from] serde_json::Error),
    /// The settings of a plug-in are invalid, or the plug-in could not be built.
    #[error(transparent)]
    Plugin(#[from] BuildError),
}
