//! The operators' file, `deploy/operator.toml`: what operators decide, beside the configuration that the platform
//! writes.
//!
//! The whole file and each section may be left out. A file with an unknown key or a value that makes no sense is
//! rejected as a whole, with an error of one line that names the field.

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

/// Largest file that is read, in bytes. Bounds the memory where a path names something else.
pub const MAX_FILE_BYTES: usize = 1 << 20;
/// Longest name of a member, a zone or a region, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Most methods that may be named.
const MAX_METHODS: usize = 10_000;

/// The whole file, checked.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    /// Section `[plugin]`: the load balancer inside callers' processes.
    pub plugin: PluginConfig,
    /// Section `[instances]`: membership among balancers. Without the section there is none.
    #[serde(rename = "instances")]
    pub membership: Option<MembershipConfig>,
    /// Section `[evacuation]`: evacuation of failure domains by all balancers together. Without the section there is
    /// none.
    pub evacuation: Option<EvacuationConfig>,
}

impl OperatorConfig {
    /// Reads the text of a file and checks it.
    ///
    /// # Errors
    ///
    /// Fails if the text is too large, is not TOML, has an unknown key, or a value that makes no sense.
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
