//! Errors of a run.

use crate::supported::UnsupportedScenario;
use std::io;
use std::process::ExitStatus;
use std::time::Duration;
use tokio::task::JoinError;

/// Why the fleet could not be started, or a fault not be applied to it.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// An upstream could not listen.
    #[error("nodo {number}: {source}")]
    StartUpstream {
        /// Its number among all upstreams.
        number: u32,
        /// The failed system call.
        source: io::Error,
    },
    /// The sockets or the folder of a balancer could not be made.
    #[error("balancer {number}: {source}")]
    PrepareBalancer {
        /// Its number among all balancers.
        number: u32,
        /// The failed system call.
        source: io::Error,
    },
    /// The sockets of the membership could not be made.
    #[error("members: {0}")]
    PrepareMembership(#[source] io::Error),
    /// A proxy that breaks a rule on purpose could not listen.
    #[error(transparent)]
    StartViolationProxy(io::Error),
    /// The files of a process could not be written, or it could not be spawned.
    #[error("{process}: {source}")]
    Process {
        /// Its name.
        process: String,
        /// The failed system call.
        source: io::Error,
    },
    /// A process ended before it served.
    #[error("{process} did not start ({status}): {last_log_line}")]
    ExitedAtStart {
        /// Its name.
        process: String,
        /// How it ended.
        status: ExitStatus,
        /// The last line of its log.
        last_log_line: String,
    },
    /// A process runs, but did not serve in time.
    #[error("{process} does not serve after {} s: {last_log_line}", waited.as_secs())]
    NotReady {
        /// Its name.
        process: String,
        /// How long it had to come up.
        waited: Duration,
        /// The last line of its log.
        last_log_line: String,
    },
    /// The request for a process's health could not be built.
    #[error(transparent)]
    HealthRequest(#[from] http::Error),
    /// A task panicked or was cancelled.
    #[error(transparent)]
    Task(#[from] JoinError),
}

/// Why a run has no result.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The scenario cannot be played with processes.
    #[error(transparent)]
    Unsupported(#[from] UnsupportedScenario),
    /// The folder of the run could not be made.
    #[error(transparent)]
    RunDirectory(io::Error),
    /// The fleet could not be started.
    #[error(transparent)]
    Start(#[from] ClusterError),
    /// The machine is too slow to start the fleet before callers begin.
    #[error("it took {:.1} s until all processes served", startup_time.as_secs_f64())]
    TooSlow {
        /// How long it took until all processes served.
        startup_time: Duration,
    },
}
