//! The operators' file, `deploy/operator.toml`: the settings that operators control, in addition to the configuration
//! that the platform writes.
//!
//! The file and each of its sections are optional. A file with an unknown key or an invalid value is rejected as a
//! whole, with a one-line error that names the field.

mod error;
mod evacuation;
mod membership;
mod plugin;
#[cfg(test)]
mod tests;

pub use error::ConfigError;
pub use evacuation::EvacuationConfig;
pub use membership::MembershipConfig;
pub use plugin::{PluginConfig, Protocol};

use serde::Deserialize;

/// Maximum size of the file in bytes. The limit bounds the memory that is used when a path mistakenly names another
/// file.
pub const MAX_FILE_BYTES: usize = 1 << 20;
/// Maximum length of the name of a member, zone or region, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum number of entries of `plugin.methods`.
const MAX_METHODS: usize = 10_000;

/// The validated contents of an operators' file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    /// Section `[plugin]`: the load balancer as a library in callers' processes.
    pub plugin: PluginConfig,
    /// Section `[instances]`: membership among balancers, which is disabled without the section.
    #[serde(rename = "instances")]
    pub membership: Option<MembershipConfig>,
    /// Section `[evacuation]`: evacuation of failure domains by all balancers together, which is disabled without the
    /// section.
    pub evacuation: Option<EvacuationConfig>,
}

impl OperatorConfig {
    /// Parses and validates the text of a file.
    ///
    /// # Errors
    ///
    /// Fails if the text exceeds [`MAX_FILE_BYTES`], is not TOML, or has an unknown key or an invalid value.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        if text.len() > MAX_FILE_BYTES {
            return Err(ConfigError::TooLarge);
        }
        let deserializer =
            toml::Deserializer::parse(text).map_err(|error| ConfigError::syntax(text, &error))?;
        let config: Self = serde_path_to_error::deserialize(deserializer)
            .map_err(|error| ConfigError::field(&error))?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), ConfigError> {
        if let Some(membership) = &self.membership {
            membership.check()?;
        }
        if let Some(evacuation) = &self.evacuation {
            evacuation.check()?;
            if self.membership.is_none() {
                return Err(ConfigError::EvacuationWithoutMembership);
            }
        }
        self.plugin.check()
    }
}
