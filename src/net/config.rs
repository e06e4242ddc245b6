//! What the daemon starts with, from the environment and a JSON file. Names of keys are the platform's.

use super::operator_file::{OperatorFile, OperatorFileError};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use woadstall_decisions::api::{Settings, SettingsError};
use woadstall_discovery::EndpointList;
use woadstall_membership_net::MembershipConfig;
use woadstall_operator_config::EvacuationConfig;
use woadstall_settings::{Names, ParseError, parse_names, parse_settings};

/// Descriptors that are neither callers' nor upstreams': standard streams, listener, discovery, the runtime's, callers
/// accepted only to be rejected, and those at the admin address.
const RESERVED_SOCKETS: usize = 64;
/// Less memory than this, in MB, cannot serve anybody.
const MIN_MEMORY_MB: usize = 8;
/// Fewer descriptors than this cannot serve anybody.
const MIN_SOCKETS: usize = 96;
const BYTES_PER_MB: usize = 1 << 20;

/// What is wrong with a configuration, in one line that names the field.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment names no file.
    #[error("`LB_CONFIG` is not set")]
    NoFile,
    /// The file cannot be read.
    #[error("`LB_CONFIG` {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// What the system reports.
        source: io::Error,
    },
    /// The text is not JSON, or a key is missing or of another type.
    #[error("configuration: {0}")]
    Json(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// Something follows the configuration.
    #[error("configuration: {0}")]
    TrailingData(#[source] serde_json::Error),
    /// The settings in it cannot be read.
    #[error(transparent)]
    Settings(#[from] ParseError),
    /// The settings in it make no sense.
    #[error("settings: {0}")]
    InvalidSettings(#[source] SettingsError),
    /// It allows too few descriptors.
    #[error("`limits.sockets` is {found}, fewer than {MIN_SOCKETS}")]
    TooFewSockets {
        /// How many it allows.
        found: usize,
    },
    /// It allows too little memory.
    #[error("`limits.memory_mb` is {found}, less than {MIN_MEMORY_MB}")]
    TooLittleMemory {
        /// How much it allows, in MB.
        found: usize,
    },
    /// An address is missing.
    #[error("`{field}` is missing")]
    MissingAddress {
        /// The field.
        field: &'static str,
    },
    /// An address is none.
    #[error("`{field}` is not an address with a port: {text:?}")]
    InvalidAddress {
        /// The field.
        field: &'static str,
        /// Its value.
        text: String,
    },
    /// The seed is no number.
    #[error("`seed` is not a hexadecimal number: {text:?}")]
    InvalidSeed {
        /// Its value.
        text: String,
    },
    /// The operators' file cannot be read or is not valid.
    #[error("`LB_OPERATOR` {path}: {source}")]
    OperatorFile {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: OperatorFileError,
    },
}

/// The whole configuration, checked.
pub struct Config {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators call, if they can.
    pub admin: Option<SocketAddr>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The balancer's name, if it has one.
    pub name: Option<String>,
    /// Membership among balancers, where the operators' file has it.
    pub membership: Option<MembershipConfig>,
    /// Evacuation, where the operators' file has it.
    pub evacuation: Option<EvacuationConfig>,
    /// A directory that a successor shares, if there is one.
    pub shared_directory: Option<PathBuf>,
    /// Seed of the random numbers, new with each start.
    pub seed: u64,
    /// Limits of resources.
    pub limits: Limits,
    /// The last list of endpoints.
    pub known_endpoints: EndpointList,
    /// The settings of the decisions.
    pub settings: Settings,
    /// Their names.
    pub names: Names,
}

/// Limits of resources.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most connections of callers.
    pub callers: usize,
    /// Most connections to upstreams, idle ones included.
    pub upstreams: usize,
    /// Memory in bytes.
    pub memory: usize,
}

/// The JSON form. Its name stands in the text of errors.
#[derive(Deserialize)]
struct Raw {
    name: Option<String>,
    listen: Option<String>,
    admin: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: RawLimits,
    #[serde(rename = "known", default)]
    known_endpoints: EndpointList,
    settings: Value,
}

#[derive(Deserialize)]
struct RawLimits {
    memory_mb: usize,
    sockets: usize,
}

impl RawLimits {
    fn checked(&self) -> Result<Limits, ConfigError> {
        if self.sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets {
                found: self.sockets,
            });
        }
        if self.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::TooLittleMemory {
                found: self.memory_mb,
            });
        }
        // Every caller that waits has an attempt in flight.
        let half = (self.sockets - RESERVED_SOCKETS) / 2;
        let memory = self.memory_mb.saturating_mul(BYTES_PER_MB);
        Ok(Limits {
            callers: half,
            upstreams: half,
            memory,
        })
    }
}

impl Config {
    /// Reads the file that `LB_CONFIG` names, and the operators' if `LB_OPERATOR` names one.
    ///
    /// # Errors
    ///
    /// Fails if either cannot be read or is not valid.
    pub fn load() -> Result<Self, ConfigError> {
        let text = read_file()?;
        let mut config = Self::parse(&text, variable("LB_LISTEN"), variable("LB_DISCOVERY"))?;
        if let Some(path) = variable("LB_OPERATOR") {
            config.load_operator_file(path)?;
        }
        Ok(config)
    }

    /// Reads the file once more. What it says of discovery is newer than the environment.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not valid.
    pub fn reload() -> Result<Self, ConfigError> {
        Self::parse(&read_file()?, variable("LB_LISTEN"), None)
    }

    fn load_operator_file(&mut self, path: String) -> Result<(), ConfigError> {
        let zone = self
            .names
            .zones
            .get(usize::from(self.settings.zone.0))
            .map(String::as_str);
        let file = OperatorFile::read(Path::new(&path), zone, self.name.as_deref())
            .map_err(|source| ConfigError::OperatorFile { path, source })?;
        self.membership = file.membership;
        self.evacuation = file.evacuation;
        Ok(())
    }

    /// Reads the text of a configuration; addresses that are given take precedence over those in the text.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON, or if a field is missing, of another type, or makes no sense.
    pub fn parse(
        text: &str,
        listen: Option<String>,
        discovery: Option<String>,
    ) -> Result<Self, ConfigError> {
        let raw: Raw = from_json(text)?;
        let settings = raw.settings.to_string();
        let names = parse_names(settings.as_bytes())?;
        let settings = parse_settings(settings.as_bytes())?;
        settings.check().map_err(ConfigError::InvalidSettings)?;
        let limits = raw.limits.checked()?;
        let admin = variable("LB_ADMIN").or(raw.admin);
        Ok(Self {
            listen: address("listen", listen.or(raw.listen))?,
            admin: admin.map(|text| address("admin", Some(text))).transpose()?,
            discovery: address("discovery", discovery.or(raw.discovery))?,
            name: variable("LB_NAME")
                .or(raw.name)
                .filter(|name| !name.is_empty()),
            membership: None,
            evacuation: None,
            shared_directory: variable("TMPDIR").map(PathBuf::from),
            seed: seed(raw.seed)?,
            limits,
            known_endpoints: raw.known_endpoints,
            settings,
            names,
        })
    }
}

fn read_file() -> Result<String, ConfigError> {
    let path = variable("LB_CONFIG").ok_or(ConfigError::NoFile)?;
    std::fs::read_to_string(&path).map_err(|source| ConfigError::Read { path, source })
}

/// A variable of the environment, unless it is empty.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn from_json<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(ConfigError::Json)?;
    deserializer.end().map_err(ConfigError::TrailingData)?;
    Ok(value)
}

fn address(field: &'static str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or(ConfigError::MissingAddress { field })?;
    text.parse()
        .map_err(|_| ConfigError::InvalidAddress { field, text })
}

fn seed(text: String) -> Result<u64, ConfigError> {
    u64::from_str_radix(&text, 16).map_err(|_| ConfigError::InvalidSeed { text })
}
