//! Settings of a process, read from the JSON file at the path in `WOADSTALL_BOOT`.

mod document;
mod watcher;

pub use watcher::SettingsWatcher;

use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use woadstall_control::reader::Findings;
use woadstall_routing::RoutingLimits;

/// Environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "WOADSTALL_BOOT";

/// Reason why the settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// [`PATH_VARIABLE`] is not set.
    #[error("{PATH_VARIABLE} does not name the settings file")]
    NoPath,
    /// The file can't be read.
    #[error("{path}: {source}")]
    Io {
        /// Path of the settings file.
        path: PathBuf,
        /// Error returned by the operating system.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{path}: {source}")]
    Json {
        /// Path of the settings file.
        path: PathBuf,
        /// Syntax error with its position in the file.
        source: serde_json::Error,
    },
    /// The document lacks required fields or has invalid fields.
    #[error("{path}:\n{findings}")]
    Invalid {
        /// Path of the settings file.
        path: PathBuf,
        /// Findings for all missing or invalid fields.
        findings: Findings,
    },
}

/// Endpoint that a process can serve, with its own address in the field `listen`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// HTTP API for operators, upstreams and applications, served by `core`.
    Control,
    /// Directory in which clients look up balancers, served by `core`.
    Directory,
    /// Endpoint for client requests, served by `front`.
    Front,
    /// Readiness probe of the platform, served by `front`.
    Readiness,
}

impl Endpoint {
    /// Key of the endpoint in the field `listen`.
    fn key(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Directory => "directory",
            Self::Front => "front",
            Self::Readiness => "ready",
        }
    }
}

/// Inclusive range of ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// First port, used for the internal protocol of the control plane.
    pub first: u16,
    /// Last port of the range, used for the internal protocol of the coordination service if it
    /// differs from the first port.
    pub last: u16,
}

/// Settings of a process. Each comment names the field of the settings file and its default. A
/// field without a default is required.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// `node`: name of the machine.
    pub node: String,
    /// `ip`: IP address of the machine.
    pub ip: IpAddr,
    /// `zone`: zone of the machine.
    pub zone: String,
    /// `region`: region of the machine.
    pub region: String,
    /// `zones`: region of each zone; default: empty.
    pub zones: BTreeMap<String, String>,
    /// `listen`: addresses that the process serves, by the key of the endpoint; default: empty.
    pub listen: BTreeMap<String, SocketAddr>,
    /// `ephemeral_ports`: first and last port for the internal protocols.
    pub internal_ports: PortRange,
    /// `seeds`: control addresses of machines through which a process finds the system; default:
    /// empty.
    pub seeds: Vec<SocketAddr>,
    /// `bootstrap`: whether this is the first start of the whole system; default: false.
    pub bootstrap: bool,
    /// `data_dir`: directory for durable files; default: none, for machines without a disk.
    pub data_dir: Option<PathBuf>,
    /// `fault_tolerance.machines`: number of machines with a disk that may fail at the same time;
    /// default: 1.
    pub tolerated_failures: usize,
    /// `heartbeat_ms`: interval between heartbeats of an upstream, in milliseconds; default: 1,200.
    pub heartbeat_ms: u64,
    /// `limits.memory_mb`: memory limit of the process, converted from MiB to bytes; default:
    /// 256 MiB.
    pub memory_bytes: usize,
    /// `limits.max_fds`: limit of file descriptors of the process; default: 1,024.
    pub max_fds: usize,
    /// `bounds.history_s`: time within which applications may resume watches; default: 20 s.
    pub history_period: Duration,
    /// `bounds.grace_s`: time within which a process must exit after SIGTERM; default: 8 s.
    pub grace_period: Duration,
    /// Routing limits, read from the remaining fields of `bounds`.
    pub bounds: RoutingLimits,
}

impl NodeSettings {
    /// Returns the path of the settings file from the environment variable [`PATH_VARIABLE`].
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::NoPath`] if the variable is not set.
    pub fn path() -> Result<PathBuf, SettingsError> {
        std::env::var_os(PATH_VARIABLE)
            .map(PathBuf::from)
            .ok_or(SettingsError::NoPath)
    }

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, is not JSON, or has missing or invalid fields.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let path = path.to_owned();
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(source) => return Err(SettingsError::Io { path, source }),
        };
        let document: Value = match serde_json::from_slice(&text) {
            Ok(document) => document,
            Err(source) => return Err(SettingsError::Json { path, source }),
        };
        Self::from_document(&document).map_err(|findings| SettingsError::Invalid { path, findings })
    }

    /// Reads settings from a JSON document. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Returns a finding with its position for each field that is missing or invalid.
    pub fn from_document(document: &Value) -> Result<Self, Findings> {
        document::parse(document)
    }

    /// Returns the address on which this process listens for the internal protocol.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_ports.first)
    }

    /// Returns the address on which this process listens for the internal protocol of the
    /// coordination service. The service uses a separate port so that the control group and the
    /// coordination group do not delay each other. Returns `None` if `ephemeral_ports` holds only
    /// one port.
    pub fn coordination_address(&self) -> Option<SocketAddr> {
        self.coordination_address_of(self.ip)
    }

    /// Returns the address on which the machine with this IP address listens for the internal
    /// protocol of the coordination service; `None` if `ephemeral_ports` holds only one port.
    pub fn coordination_address_of(&self, ip: IpAddr) -> Option<SocketAddr> {
        let PortRange { first, last } = self.internal_ports;
        (last > first).then(|| SocketAddr::new(ip, last))
    }

    /// Returns the addresses of the seeds in the internal protocol of the coordination service.
    pub fn coordination_seeds(&self) -> Vec<SocketAddr> {
        self.seeds
            .iter()
            .filter_map(|seed| self.coordination_address_of(seed.ip()))
            .collect()
    }

    /// Returns the address on which the machine with this control address listens for the internal
    /// protocol. All machines use the same ports.
    pub fn internal_address_of(&self, control_address: SocketAddr) -> SocketAddr {
        SocketAddr::new(control_address.ip(), self.internal_ports.first)
    }

    /// Returns the addresses of the seeds in the internal protocol.
    pub fn internal_seeds(&self) -> Vec<SocketAddr> {
        self.seeds
            .iter()
            .map(|seed| self.internal_address_of(*seed))
            .collect()
    }

    /// Returns the address on which the process serves an endpoint; `None` if `listen` does not
    /// contain the endpoint.
    pub fn listen_address(&self, endpoint: Endpoint) -> Option<SocketAddr> {
        self.listen.get(endpoint.key()).copied()
    }
}
