//! Errors of a run.

use crate::supported::UnsupportedScenario;
use std::io;
use woadstall_tower::BuildError;

/// Why a run has no result.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The scenario cannot be played on sockets.
    #[error(transparent)]
    Unsupported(#[from] UnsupportedScenario),
    /// An upstream could not listen.
    #[error("nodos: {0}")]
    StartUpstreams(#[source] io::Error),
    /// The program rejects the configuration of a daemon, or could not start with it.
    #[error("{0}")]
    Daemon(String),
    /// The runtime of a daemon's thread could not be built.
    #[error(transparent)]
    DaemonRuntime(io::Error),
    /// The thread of a daemon ended before it reported its address.
    #[error("a daemon did not start")]
    DaemonThreadEnded,
    /// The list that a plug-in knows is not one.
    #[error(transparent)]
    KnownList(#[from] serde_json::Error),
    /// A plug-in rejects its settings.
    #[error(transparent)]
    Plugin(#[from] BuildError),
}
