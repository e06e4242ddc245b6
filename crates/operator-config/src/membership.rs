//! Section `[instances]`: membership among balancers, with a SWIM protocol.

use crate::error::check_range;
use crate::{ConfigError, MAX_NAME_BYTES};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

const DEFAULT_PROBE_PERIOD_MS: u64 = 500;
const DEFAULT_PROBE_TIMEOUT_MS: u64 = 200;
const DEFAULT_SUSPICION_TIMEOUT_MS: u64 = 6_000;

/// Settings of section `[instances]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipConfig {
    /// Address on which the balancer receives datagrams and streams from other members. Port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address at which other members reach the balancer; the listen address by default.
    pub advertise: Option<SocketAddr>,
    /// Name of the balancer, unique in the fleet; by default the environment variable `LB_NAME`, or else the address.
    pub name: Option<String>,
    /// Zone of the balancer; by default the zone of its configuration.
    pub zone: Option<String>,
    /// Region of the zone.
    pub region: Option<String>,
    /// Addresses of members through which the balancer joins.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// File with further seeds, one address per line; read again at SIGHUP.
    pub seeds_file: Option<PathBuf>,
    /// File with the keys that the fleet shares; read again at SIGHUP.
    pub key_file: Option<PathBuf>,
    /// Whether the balancer runs without a key; false by default.
    #[serde(default)]
    pub insecure: bool,
    /// Protocol period, in which one other member is probed, in milliseconds: 10 to 60,000, 500 by default.
    #[serde(rename = "period_ms", default = "default_probe_period_ms")]
    pub probe_period_ms: u64,
    /// Time after which an unanswered direct probe is followed by indirect probes through other members, in
    /// milliseconds: 1 to 30,000, and at most half of the period; 200 by default.
    #[serde(rename = "patience_ms", default = "default_probe_timeout_ms")]
    pub probe_timeout_ms: u64,
    /// Minimum time for which an unresponsive member is suspected before it is declared dead, in milliseconds: 1 to
    /// 3,600,000, and at least one period; 6000 by default. The timeout must exceed the pauses of a healthy member's
    /// process, which would otherwise be declared dead.
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
