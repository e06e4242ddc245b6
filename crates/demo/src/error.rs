//! What may go wrong in a demonstration.

use std::io;

/// Why a demonstration could not be shown.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The scenario is not sound at the length that was asked for.
    #[error(transparent)]
    Scenario(Box<dyn std::error::Error + Send + Sync>),
    /// The scenario could not be played.
    #[error(transparent)]
    LoadTest(Box<dyn std::error::Error + Send + Sync>),
    /// The runtime did not start, or this program was not found.
    #[error(transparent)]
    Io(#[from] io::Error),
}
