//! What may go wrong where a load balancer starts or takes new settings.

use tokio::runtime::TryCurrentError;
use woadstall_engine::decisions::SettingsError;

/// Why a load balancer could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings make no sense.
    #[error("settings: {0}")]
    Settings(#[source] SettingsError),
    /// It was not started in a tokio runtime.
    #[error(transparent)]
    NoRuntime(#[from] TryCurrentError),
}

/// New settings make no sense, and have changed nothing.
#[derive(Debug, thiserror::Error)]
#[error("settings: {0}")]
pub struct ReconfigureError(#[source] pub(crate) SettingsError);
