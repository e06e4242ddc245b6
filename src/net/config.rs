//! The daemon's configuration, read from the environment and a JSON file. The platform defines the key names.

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

/// File descriptors reserved for uses other than caller and upstream connections: standard streams, the listener,
/// discovery, the runtime, surplus callers that are accepted only to be rejected, and admin connections.
const RESERVED_SOCKETS: usize = 64;
/// Minimum memory limit, in MB. With less memory, no request could be served.
const MIN_MEMORY_MB: usize = 8;
/// Minimum limit on file descriptors. With fewer descriptors, no request could be served.
const MIN_SOCKETS: usize = 96;
const BYTES_PER_MB: usize = 1 << 20;

/// The error of an invalid configuration. The message is a single line that names the field.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// `LB_CONFIG` is not set.
    #[error("`LB_CONFIG` is not set")]
    NoFile,
    /// The file cannot be read.
    #[error("`LB_CONFIG` {path}: {source}")]
    Read {
        /// Path of the configuration file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The text is not JSON, or a key is missing or has the wrong type.
    #[error("configuration: {0}")]
    Json(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// The text continues after the end of the JSON value.
    #[error("configuration: {0}")]
    TrailingData(#[source] serde_json::Error),
    /// The settings cannot be parsed.
    #[error(transparent)]
    Settings(#[from] ParseError),
    /// The settings have been parsed, but are inconsistent or out of range.
    #[error("settings: {0}")]
    InvalidSettings(#[source] SettingsError),
    /// The limit on file descriptors is too low.
    #[error("`limits.sockets` is {found}, fewer than {MIN_SOCKETS}")]
    TooFewSockets {
        /// The configured number of file descriptors.
        found: usize,
    },
    /// The memory limit is too low.
    #[error("`limits.memory_mb` is {found}, less than {MIN_MEMORY_MB}")]
    TooLittleMemory {
        /// The configured limit, in MB.
        found: usize,
    },
    /// A required address is missing.
    #[error("`{field}` is missing")]
    MissingAddress {
        /// Key of the address.
        field: &'static str,
    },
    /// An address is not an IP address with a port.
    #[error("`{field}` is not an address with a port: {text:?}")]
    InvalidAddress {
        /// Key of the address.
        field: &'static str,
        /// The configured value.
        text: String,
    },
    /// The seed is not a hexadecimal number.
    #[error("`seed` is not a hexadecimal number: {text:?}")]
    InvalidSeed {
        /// The configured value.
        text: String,
    },
    /// The operator file cannot be read or is invalid.
    #[error("`LB_OPERATOR` {path}: {source}")]
    OperatorFile {
        /// Path of the operator file.
        path: String,
        /// The cause.
        source: OperatorFileError,
    },
}

/// The validated configuration of the daemon.
pub struct Config {
    /// Address that the daemon listens on for callers.
    pub listen: SocketAddr,
    /// Address that the daemon listens on for operators' calls; `None` disables the admin server.
    pub admin: Option<SocketAddr>,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Name of this load balancer; `None` if it is unset or empty.
    pub name: Option<String>,
    /// Configuration of the membership among load balancers; `None` without an `[instances]` section in the operator
    /// file.
    pub membership: Option<MembershipConfig>,
    /// Configuration of evacuation; `None` without an `[evacuation]` section in the operator file.
    pub evacuation: Option<EvacuationConfig>,
    /// Directory shared with predecessor and successor processes, for hot restarts; `None` disables hot restarts.
    pub shared_directory: Option<PathBuf>,
    /// Seed of the random numbers, which differs with each start.
    pub seed: u64,
    /// Limits on connections and memory.
    pub limits: Limits,
    /// The list of endpoints known at the start, possibly out of date.
    pub known_endpoints: EndpointList,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of classes, tenants and zones in the settings.
    pub names: Names,
}

/// Limits on connections and memory.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of caller connections.
    pub caller_connections: usize,
    /// Maximum number of upstream connections, including idle ones.
    pub upstream_connections: usize,
    /// Memory limit, in bytes.
    pub memory_bytes: usize,
}

/// The JSON format of the configuration. serde's error messages contain the name of this type, so it must not change.
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
        // Each waiting caller has an attempt in flight, so callers and upstreams get the same number of descriptors.
        let half = (self.sockets - RESERVED_SOCKETS) / 2;
        let memory_bytes = self.memory_mb.saturating_mul(BYTES_PER_MB);
        Ok(Limits {
            caller_connections: half,
            upstream_connections: half,
            memory_bytes,
        })
    }
}

impl Config {
    /// Reads the configuration file named by `LB_CONFIG`, and the operator file if `LB_OPERATOR` is set.
    ///
    /// # Errors
    ///
    /// Fails if either file cannot be read or is invalid.
    pub fn load() -> Result<Self, ConfigError> {
        let text = read_file()?;
        let mut config = Self::parse(
            &text,
            environment_variable("LB_LISTEN"),
            environment_variable("LB_DISCOVERY"),
        )?;
        if let Some(path) = environment_variable("LB_OPERATOR") {
            config.load_operator_file(path)?;
        }
        Ok(config)
    }

    /// Reads the configuration file again. `LB_DISCOVERY` is ignored, since the file's discovery address is newer than
    /// the environment's.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is invalid.
    pub fn reload() -> Result<Self, ConfigError> {
        Self::parse(&read_file()?, environment_variable("LB_LISTEN"), None)
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

    /// Parses a configuration. The addresses `listen` and `discovery` take precedence over those in the text.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON, or if a field is missing, has the wrong type or is out of range.
    pub fn parse(
        text: &str,
        listen: Option<String>,
        discovery: Option<String>,
    ) -> Result<Self, ConfigError> {
        let raw: Raw = parse_json(text)?;
        let settings = raw.settings.to_string();
        let names = parse_names(settings.as_bytes())?;
        let settings = parse_settings(settings.as_bytes())?;
        settings.check().map_err(ConfigError::InvalidSettings)?;
        let limits = raw.limits.checked()?;
        let admin = environment_variable("LB_ADMIN").or(raw.admin);
        Ok(Self {
            listen: parse_address("listen", listen.or(raw.listen))?,
            admin: admin
                .map(|text| parse_address("admin", Some(text)))
                .transpose()?,
            discovery: parse_address("discovery", discovery.or(raw.discovery))?,
            name: environment_variable("LB_NAME")
                .or(raw.name)
                .filter(|name| !name.is_empty()),
            membership: None,
            evacuation: None,
            shared_directory: environment_variable("TMPDIR").map(PathBuf::from),
            seed: parse_seed(raw.seed)?,
            limits,
            known_endpoints: raw.known_endpoints,
            settings,
            names,
        })
    }
}

fn read_file() -> Result<String, ConfigError> {
    let path = environment_variable("LB_CONFIG").ok_or(ConfigError::NoFile)?;
    std::fs::read_to_string(&path).map_err(|source| ConfigError::Read { path, source })
}

/// Returns an environment variable; `None` if it is unset or empty.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(ConfigError::Json)?;
    deserializer.end().map_err(ConfigError::TrailingData)?;
    Ok(value)
}

fn parse_address(field: &'static str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or(ConfigError::MissingAddress { field })?;
    text.parse()
        .map_err(|_| ConfigError::InvalidAddress { field, text })
}

fn parse_seed(text: String) -> Result<u64, ConfigError> {
    u64::from_str_radix(&text, 16).map_err(|_| ConfigError::InvalidSeed { text })
}
