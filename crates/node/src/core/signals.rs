//! The signals that a core process handles. They are handled from its start on: by default each of
//! them would end the process.

use crate::error::SetupError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receivers of the signals.
#[derive(Debug)]
pub(super) struct Signals {
    /// SIGTERM: the process shuts down.
    pub terminate: Signal,
    /// SIGHUP: the settings are read again.
    pub hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// The operating system refuses one.
    pub fn install() -> Result<Self, SetupError> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(SetupError::during("SIGTERM"))?,
            hangup: signal(SignalKind::hangup()).map_err(SetupError::during("SIGHUP"))?,
        })
    }
}
