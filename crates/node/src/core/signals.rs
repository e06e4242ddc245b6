//! Signal handlers of a core process. They are installed first at start-up because the default
//! action of each signal would end the process.

use crate::error::SetupError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receivers of the handled signals.
#[derive(Debug)]
pub(super) struct Signals {
    /// SIGTERM, which shuts the process down.
    pub terminate: Signal,
    /// SIGHUP, which reloads the settings.
    pub hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a handler.
    pub fn install() -> Result<Self, SetupError> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())
                .map_err(SetupError::during("install the SIGTERM handler"))?,
            hangup: signal(SignalKind::hangup())
                .map_err(SetupError::during("install the SIGHUP handler"))?,
        })
    }
}
