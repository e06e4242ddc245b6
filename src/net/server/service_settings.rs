//! The settings that requests are taken under.

use tokio::time::Instant;
use woadstall_settings::ActiveSettings;

/// The settings that requests are taken under.
pub struct ServiceSettings {
    /// The settings.
    pub active: ActiveSettings,
    /// When they last changed; `None` if they never did.
    pub changed_at: Option<Instant>,
}
