//! The settings of a process: a JSON file whose path is in `WOADSTALL_BOOT`.

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

/// The environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "WOADSTALL_BOOT";

/// The settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The environment variable is not set.
    #[error("{PATH_VARIABLE} does not name the settings file")]
    NoPath,
    /// The file can't be read.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// The operating system's answer.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{path}: {source}")]
    Json {
        /// The file.
        path: PathBuf,
        /// The syntax error with its position.
        source: serde_json::Error,
    },
    /// Fields are missing or invalid.
    #[error("{path}:\n{findings}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// One finding for each field.
        findings: Findings,
    },
}

/// An endpoint that a process can serve, each on an address of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// The operator's API and the registrations of upstreams (core).
    Control,
    /// The directory in which clients look up balancers (core).
    Directory,
    /// Clients' requests (front).
    Front,
    /// The platform's readiness probe (front).
    Readiness,
}

impl Endpoint {
    /// Its key in the field `listen`.
    fn key(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Directory => "directory",
            Self::Front => "front",
            Self::Readiness => "ready",
        }
    }
}

/// A range of ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port, included.
    pub last: u16,
}

/// The settings of a process. The comments name the field of the file and its default; a field
/// without one is required.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// `node`: the machine's name.
    pub node: String,
    /// `ip`: the machine's address.
    pub ip: IpAddr,
    /// `zone`: its zone.
    pub zone: String,
    /// `region`: its region.
    pub region: String,
    /// `zones`: the region of each zone; default: empty.
    pub zones: BTreeMap<String, String>,
    /// `listen`: the addresses that the process serves, by the name of the endpoint; default:
    /// empty.
    pub listen: BTreeMap<String, SocketAddr>,
    /// `ephemeral_ports`: ports for the internal protocol.
    pub internal_ports: PortRange,
    /// `seeds`: control addresses of some machines; default: empty.
    pub seeds: Vec<SocketAddr>,
    /// `bootstrap`: whether this is the first start of the whole system; default: false.
    pub bootstrap: bool,
    /// `data_dir`: the directory for durable files; default: none, on machines without a disk.
    pub data_dir: Option<PathBuf>,
    /// `fault_tolerance.machines`: how many machines with a disk may fail at a time; default: 1.
    pub tolerated_failures: usize,
    /// `heartbeat_ms`: the interval between heartbeats of an upstream, in milliseconds; default:
    /// 1,200.
    pub heartbeat_ms: u64,
    /// `limits.memory_mb`: memory of the process, here in bytes; default: 256 MiB.
    pub memory_bytes: usize,
    /// `limits.max_fds`: file descriptors of the process; default: 1,024.
    pub max_fds: usize,
    /// `bounds.history_s`: for how long applications may resume watches; default: 20 s.
    pub history_period: Duration,
    /// `bounds.grace_s`: how long a process may go on after SIGTERM; default: 8 s.
    pub grace_period: Duration,
    /// The other fields of `bounds`: limits for routing.
    pub bounds: RoutingLimits,
}

impl NodeSettings {
    /// The path that the environment names.
    ///
    /// # Errors
    ///
    /// [`SettingsError::NoPath`] if the variable is not set.
    pub fn path() -> Result<PathBuf, SettingsError> {
        std::env::var_os(PATH_VARIABLE)
            .map(PathBuf::from)
            .ok_or(SettingsError::NoPath)
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The file can't be read, is not JSON, or has invalid fields.
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

    /// Reads a JSON document. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// A finding with its position for each field that is missing or invalid.
    pub fn from_document(document: &Value) -> Result<Self, Findings> {
        document::parse(document)
    }

    /// Where this process listens for the internal protocol.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_ports.first)
    }

    /// Where this process listens for the internal protocol of the coordination service: a port of
    /// its own, so that neither group delays the other. `None` where there is only one port.
    pub fn coordination_address(&self) -> Option<SocketAddr> {
        self.coordination_address_of(self.ip)
    }

    /// Where the machine with this address listens for the internal protocol of the coordination
    /// service.
    pub fn coordination_address_of(&self, ip: IpAddr) -> Option<SocketAddr> {
        let PortRange { first, last } = self.internal_ports;
        (last > first).then(|| SocketAddr::new(ip, last))
    }

    /// Internal addresses of the seeds in the coordination service.
    pub fn coordination_seeds(&self) -> Vec<SocketAddr> {
        self.seeds
            .iter()
            .filter_map(|seed| self.coordination_address_of(seed.ip()))
            .collect()
    }

    /// Where the machine with this control address listens for the internal protocol; all machines
    /// use the same ports.
    pub fn internal_address_of(&self, control: SocketAddr) -> SocketAddr {
        SocketAddr::new(control.ip(), self.internal_ports.first)
    }

    /// Internal addresses of the seeds.
    pub fn internal_seeds(&self) -> Vec<SocketAddr> {
        self.seeds
            .iter()
            .map(|seed| self.internal_address_of(*seed))
            .collect()
    }

    /// Where the process serves an endpoint, if it does.
    pub fn listen_address(&self, endpoint: Endpoint) -> Option<SocketAddr> {
        self.listen.get(endpoint.key()).copied()
    }
}
