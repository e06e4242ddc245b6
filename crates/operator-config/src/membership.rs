//! Section `[instances]`: membership among balancers, by a SWIM protocol.

use crate::error::check_range;
use crate::{ConfigError, MAX_NAME_BYTES};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

const DEFAULT_PROBE_PERIOD_MS: u64 = 500;
const DEFAULT_PROBE_TIMEOUT_MS: u64 = 200;
const DEFAULT_SUSPICION_TIMEOUT_MS: u64 = 6_000;

/// Section `[instances]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipConfig {
    /// Where the balancer listens for the other members, for datagrams and streams. Port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where the others reach it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// Its name, unique in the fleet; the environment's `LB_NAME` by default, or else its address.
    pub name: Option<String>,
    /// Its zone; that of its configuration by default.
    pub zone: Option<String>,
    /// The zone's region.
    pub region: Option<String>,
    /// Members to join through.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// A file of more seeds, one address a line; read again at SIGHUP.
    pub seeds_file: Option<PathBuf>,
    /// The file of the keys that the fleet shares; read again at SIGHUP.
    pub key_file: Option<PathBuf>,
    /// Whether it may go without a key; false by default.
    #[serde(default)]
    pub insecure: bool,
    /// The protocol period, in which one other member is probed, in milliseconds: 10 to 60,000, 500 by default.
    #[serde(rename = "period_ms", default = "default_probe_period_ms")]
    pub probe_period_ms: u64,
    /// How long a direct probe may take before others are asked to probe, in milliseconds: 1 to 30,000 and half of the
    /// period at most, 200 by default.
    #[serde(rename = "patience_ms", default = "default_probe_timeout_ms")]
    pub probe_timeout_ms: u64,
    /// How long a member that does not respond is suspected at least before it is declared dead, in milliseconds: 1 to
    /// 3,600,000, and one period at least; 6000 by default. Longer than the pauses that a sound member may make.
    #[serde(rename = "suspicion_ms", default = "default_suspicion_timeout_ms")]
    pub suspicion_timeout_ms: u64,
}

fn default_probe_period_ms() -> u64 {
    DEFAULT_PROBE_PERIOD_MS
}

fn default_probe_timeout_ms() -> u64 {
    DEFAULT_PROBE_TIMEOUT_MS
}

fn default_suspicion_timeout_ms() -> u64 {
    DEFAULT_SUSPICION_TIMEOUT_MS
}

impl MembershipConfig {
    /// Checks names, the key, the address that others use, and the times.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        self.check_names()?;
        self.check_key()?;
        self.check_advertised_address()?;
        self.check_times()
    }

    fn check_names(&self) -> Result<(), ConfigError> {
        let names = [
            ("instances.name", &self.name),
            ("instances.zone", &self.zone),
            ("instances.region", &self.region),
        ];
        let is_valid = |name: &str| {
            (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.contains(char::is_whitespace)
        };
        for (field, name) in names {
            if name.as_deref().is_some_and(|name| !is_valid(name)) {
                return Err(ConfigError::InvalidName { field });
            }
        }
        Ok(())
    }

    fn check_key(&self) -> Result<(), ConfigError> {
        match (self.insecure, &self.key_file) {
            (true, Some(_)) => Err(ConfigError::InsecureWithKey),
            (false, None) => Err(ConfigError::MissingKey),
            _ => Ok(()),
        }
    }

    fn check_advertised_address(&self) -> Result<(), ConfigError> {
        match self.advertise {
            None if self.listen.ip().is_unspecified() => Err(ConfigError::MissingAdvertisedAddress),
            Some(address) if address.ip().is_unspecified() || address.port() == 0 => {
                Err(ConfigError::UnreachableAdvertisedAddress { address })
            }
            _ => Ok(()),
        }
    }

    fn check_times(&self) -> Result<(), ConfigError> {
        check_range("instances.period_ms", self.probe_period_ms, 10, 60_000)?;
        check_range("instances.patience_ms", self.probe_timeout_ms, 1, 30_000)?;
        check_range(
            "instances.suspicion_ms",
            self.suspicion_timeout_ms,
            1,
            3_600_000,
        )?;
        if self.probe_timeout_ms * 2 > self.probe_period_ms {
            return Err(ConfigError::ProbeTimeoutTooLong);
        }
        if self.suspicion_timeout_ms < self.probe_period_ms {
            return Err(ConfigError::SuspicionTimeoutTooShort);
        }
        Ok(())
    }
}
