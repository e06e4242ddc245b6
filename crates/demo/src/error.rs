//! Errors of a demonstration.

use std::io;

/// The error with which a demonstration ends early.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The scenario is invalid at the requested duration.
    #[error(transparent)]
    Scenario(Box<dyn std::error::Error + Send + Sync>),
    /// The load test failed to run the scenario.
    #[error(transparent)]
    LoadTest(Box<dyn std::error::Error + Send + Sync>),
    /// The tokio runtime could not be started, or the path of this program could not be determined.
    #[error(transparent)]
    Io(#[from] io::Error),
}
