//! Section `[plugin]`: the load balancer as a library in callers' processes.

use crate::error::check_range;
use crate::{ConfigError, MAX_METHODS};
use serde::Deserialize;
use std::collections::BTreeMap;

const MAX_REPLAY_LIMIT_BYTES: u64 = 64 << 20;
const MAX_CONNECTIONS: u64 = 1_000;

/// Settings of section `[plugin]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PluginConfig {
    /// Protocol of the connections to upstreams; HTTP/2 by default.
    pub protocol: Protocol,
    /// Maximum number of bytes of a request body that are buffered for retries: at most 64 MiB, 64 KiB by default.
    #[serde(rename = "replay_limit")]
    pub replay_limit_bytes: usize,
    /// Maximum number of connections: 1 to 1000, 4 by default. Over HTTP/2 the maximum applies to each upstream. Over
    /// HTTP/1.1, 128 times the maximum applies to all upstreams together.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Class of each method, by the method's path. Calls of other methods are treated as unsafe to run twice, unless
    /// the caller gives their class or the first segment of their path is the name of a class.
    #[serde(rename = "methods")]
    pub method_classes: BTreeMap<String, String>,
}

impl Default for PluginConfig {
    fn default() -> Self {
        Self {
            protocol: Protocol::default(),
            replay_limit_bytes: 64 << 10,
            max_connections: 4,
            method_classes: BTreeMap::new(),
        }
    }
}

/// A protocol of connections to upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge, as gRPC uses it.
    #[default]
    Http2,
}

impl PluginConfig {
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        let replay_limit = self.replay_limit_bytes as u64;
        check_range(
            "plugin.replay_limit",
            replay_limit,
            0,
            MAX_REPLAY_LIMIT_BYTES,
        )?;
        check_range(
            "plugin.connections",
            self.max_connections as u64,
            1,
            MAX_CONNECTIONS,
        )?;
        let count = self.method_classes.len();
        if count > MAX_METHODS {
            return Err(ConfigError::TooManyMethods { count });
        }
        self.method_classes
            .iter()
            .try_for_each(|(path, class)| check_method(path, class))
    }
}

fn check_method(path: &str, class: &str) -> Result<(), ConfigError> {
    if class.is_empty() {
        return Err(ConfigError::MethodWithoutClass {
            path: path.to_owned(),
        });
    }
    if !path.starts_with('/') {
        return Err(ConfigError::InvalidMethodPath {
            path: path.to_owned(),
        });
    }
    Ok(())
}
