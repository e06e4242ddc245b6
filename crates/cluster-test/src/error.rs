//! Errors of a cluster run.

use crate::supported::UnsupportedScenario;
use std::io;
use std::process::ExitStatus;
use std::time::Duration;
use tokio::task::JoinError;

/// A failure to start the fleet or to apply a fault.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The listener of a simulated upstream could not be created.
    #[error("nodo {number}: {source}")]
    StartUpstream {
        /// Index of the upstream among all upstreams.
        number: u32,
        /// Error of the failed system call.
        source: io::Error,
    },
    /// The sockets or the directory of a balancer could not be created.
    #[error("balancer {number}: {source}")]
    PrepareBalancer {
        /// Index of the balancer among all balancers.
        number: u32,
        /// Error of the failed system call.
        source: io::Error,
    },
    /// The sockets of the membership protocol could not be created.
    #[error("members: {0}")]
    PrepareMembership(#[source] io::Error),
    /// The listener of a proxy that violates a rule on purpose could not be created.
    #[error(transparent)]
    StartViolationProxy(io::Error),
    /// The files of a process could not be written, or the process could not be spawned.
    #[error("{process}: {source}")]
    Process {
        /// Name of the process, as in `balancer-003`.
        process: String,
        /// Error of the failed system call.
        source: io::Error,
    },
    /// A process exited before it answered its health check.
    #[error("{process} did not start ({status}): {last_log_line}")]
    ExitedAtStart {
        /// Name of the process, as in `balancer-003`.
        process: String,
        /// Exit status of the process.
        status: ExitStatus,
        /// Last line of the process's log.
        last_log_line: String,
    },
    /// A process did not answer its health check in time.
    #[error("{process} did not answer its health check within {} s: {last_log_line}", waited.as_secs())]
    NotReady {
        /// Name of the process, as in `balancer-003`.
        process: String,
        /// Time allowed for the process to become ready.
        waited: Duration,
        /// Last line of the process's log.
        last_log_line: String,
    },
    /// The health check request could not be built.
    #[error(transparent)]
    HealthRequest(#[from] http::Error),
    /// A task panicked or was cancelled.
    #[error(transparent)]
    Task(#[from] JoinError),
}

/// A failure that leaves a run without a result.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The scenario uses a setting, a fault or a size that cluster runs do not support.
    #[error(transparent)]
    Unsupported(#[from] UnsupportedScenario),
    /// The directory of the run could not be created.
    #[error(transparent)]
    RunDirectory(io::Error),
    /// The fleet could not be started.
    #[error(transparent)]
    Start(#[from] ClusterError),
    /// The fleet was not ready when callers were due to start.
    #[error("all processes were ready only after {:.1} s, later than the start of callers", startup_time.as_secs_f64())]
    TooSlow {
        /// Time until all processes were ready.
        startup_time: Duration,
    },
}
