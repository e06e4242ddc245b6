//! The settings that apply to new requests.

use tokio::time::Instant;
use woadstall_settings::ActiveSettings;

/// The settings that apply to new requests, and the time of their last change.
pub struct ServiceSettings {
    /// Active settings, with the previous definitions of changed classes.
    pub active: ActiveSettings,
    /// Time of the last change; `None` if the settings have not changed since the start.
    pub changed_at: Option<Instant>,
}
