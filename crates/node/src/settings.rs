//! The settings file of a process, read from the path in `WOADSTALL_BOOT`.

use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use thiserror::Error;
use woadstall_control::reader::{FieldReader, Findings};
use woadstall_routing::RoutingLimits;

/// The variable that names the settings file.
pub const PATH_VARIABLE: &str = "WOADSTALL_BOOT";

/// The settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The variable is not set.
    #[error("{PATH_VARIABLE} does not name the settings file")]
    NoPath,
    /// The file can't be read.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{path}: {source}")]
    Json {
        /// The file.
        path: PathBuf,
        /// Where it breaks.
        source: serde_json::Error,
    },
    /// Fields are at fault.
    #[error("{path}:\n{findings}")]
    Fields {
        /// The file.
        path: PathBuf,
        /// Each fault with its place.
        findings: Findings,
    },
}

/// What a process is told at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The machine's name.
    pub node: String,
    /// The machine's address.
    pub ip: IpAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Where the process listens, by what it serves.
    pub listen: BTreeMap<String, SocketAddr>,
    /// Ports for what the system's processes say to each other, the first and the last.
    pub internal_ports: (u16, u16),
    /// Control addresses of a few machines.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// Where lasting files go, on machines with a disk.
    pub data_dir: Option<PathBuf>,
    /// Machines with a disk that may be lost at a time.
    pub tolerated: usize,
    /// How often upstreams send heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Memory of the process, in bytes.
    pub memory: usize,
    /// Descriptors of the process.
    pub max_fds: usize,
    /// How long a process may go on after SIGTERM, in milliseconds.
    pub grace_ms: u64,
    /// Bounds that routing keeps to.
    pub bounds: RoutingLimits,
}

impl NodeSettings {
    /// The file that the environment names.
    pub fn path() -> Result<PathBuf, SettingsError> {
        std::env::var_os(PATH_VARIABLE)
            .map(PathBuf::from)
            .ok_or(SettingsError::NoPath)
    }

    /// Reads a file.
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
        Self::from_document(&document).map_err(|findings| SettingsError::Fields { path, findings })
    }

    /// Reads a document. Unknown fields are ignored; each fault is told with its place.
    pub fn from_document(document: &Value) -> Result<Self, Findings> {
        let findings = &mut Findings::default();
        let root = FieldReader::new(document);
        let bounds = root.field("bounds");
        let limits = root.field("limits");
        let ports = root.field("ephemeral_ports").items(findings);
        let ports: Vec<u16> = ports
            .iter()
            .map(|port| parse_port(port, findings))
            .collect();
        if ports.len() != 2 && findings.is_empty() {
            findings.add("ephemeral_ports", "must hold the first and the last port");
        }
        let seconds = |name: &str, default: f64, findings: &mut Findings| {
            (bounds.field(name).number_or(default, findings) * 1e3) as u64
        };
        let settings = Self {
            node: root.field("node").string(findings),
            ip: parsed(&root.field("ip"), findings).unwrap_or(IpAddr::from([0, 0, 0, 0])),
            zone: root.field("zone").string(findings),
            region: root.field("region").string(findings),
            zones: texts(&root.field("zones"), findings),
            listen: addresses(&root.field("listen"), findings),
            internal_ports: (
                ports.first().copied().unwrap_or_default(),
                ports.last().copied().unwrap_or_default(),
            ),
            seeds: {
                let seeds = root.field("seeds").items(findings);
                seeds
                    .iter()
                    .filter_map(|seed| parsed(seed, findings))
                    .collect()
            },
            bootstrap: root.field("bootstrap").bool_or(false, findings),
            data_dir: root
                .field("data_dir")
                .optional_string(findings)
                .map(PathBuf::from),
            tolerated: {
                let machines = root
                    .field("fault_tolerance")
                    .field("machines")
                    .integer_or(1, findings);
                usize::try_from(machines).unwrap_or(1)
            },
            heartbeat_ms: root.field("heartbeat_ms").integer_or(1_200, findings),
            memory: megabytes(limits.field("memory_mb").integer_or(256, findings)),
            max_fds: usize::try_from(limits.field("max_fds").integer_or(1_024, findings))
                .unwrap_or(usize::MAX),
            grace_ms: seconds("grace_s", 8.0, findings),
            bounds: RoutingLimits {
                retry_budget_ratio: bounds.field("retry_budget_ratio").number_or(0.2, findings),
                retry_budget_window_ms: seconds("budget_window_s", 10.0, findings),
                retry_budget_slack: bounds.field("budget_slack").number_or(0.0, findings),
                warmup_factor: bounds.field("cold_over").number_or(1.0, findings),
                warmup_slack: bounds.field("cold_slack").number_or(0.0, findings),
            },
        };
        if findings.is_empty() {
            Ok(settings)
        } else {
            Err(std::mem::take(findings))
        }
    }

    /// Where this process listens for other processes of the system.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_ports.0)
    }

    /// Where the process of another machine listens for them; all machines have the same ports.
    pub fn internal_address_of(&self, seed: SocketAddr) -> SocketAddr {
        SocketAddr::new(seed.ip(), self.internal_ports.0)
    }

    /// Internal addresses of the seeds.
    pub fn internal_seeds(&self) -> Vec<SocketAddr> {
        self.seeds
            .iter()
            .map(|seed| self.internal_address_of(*seed))
            .collect()
    }

    /// Where the process serves something, if it does.
    pub fn listens(&self, what: &str) -> Option<SocketAddr> {
        self.listen.get(what).copied()
    }
}

fn megabytes(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX >> 20) << 20
}

fn parsed<T: std::str::FromStr>(reader: &FieldReader<'_>, findings: &mut Findings) -> Option<T>
where
    T::Err: std::fmt::Display,
{
    let text = reader.string(findings);
    if text.is_empty() {
        return None;
    }
    text.parse()
        .map_err(|error| findings.add(reader.path(), format!("{text:?}: {error}")))
        .ok()
}

fn parse_port(reader: &FieldReader<'_>, findings: &mut Findings) -> u16 {
    let number = reader.integer(findings);
    u16::try_from(number).unwrap_or_else(|_| {
        findings.add(reader.path(), format!("{number} is no port"));
        0
    })
}

fn fields<'a>(
    reader: &FieldReader<'a>,
    findings: &mut Findings,
) -> Vec<(&'a String, FieldReader<'a>)> {
    let Some(value) = reader.value() else {
        return Vec::new();
    };
    let Some(object) = value.as_object() else {
        findings.add(reader.path(), "must be an object");
        return Vec::new();
    };
    object
        .keys()
        .map(|name| (name, reader.field(name)))
        .collect()
}

fn texts(reader: &FieldReader<'_>, findings: &mut Findings) -> BTreeMap<String, String> {
    let all = fields(reader, findings);
    all.into_iter()
        .map(|(name, field)| (name.clone(), field.string(findings)))
        .collect()
}

fn addresses(reader: &FieldReader<'_>, findings: &mut Findings) -> BTreeMap<String, SocketAddr> {
    let all = fields(reader, findings);
    all.into_iter()
        .filter_map(|(name, field)| Some((name.clone(), parsed(&field, findings)?)))
        .collect()
}
