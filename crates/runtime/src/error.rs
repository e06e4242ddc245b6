//! Errors of starting and of reconfiguring a load balancer.

use tokio::runtime::TryCurrentError;
use woadstall_engine::decisions::SettingsError;

/// The error of a load balancer that could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[source] SettingsError),
    /// The load balancer was started outside a tokio runtime.
    #[error(transparent)]
    NoRuntime(#[from] TryCurrentError),
}

/// New settings were invalid and have been rejected; the previous settings stay in effect.
#[derive(Debug, thiserror::Error)]
#[error("settings: {0}")]
pub struct ReconfigureError(#[source] pub(crate) SettingsError);
