//! What a balancer is told at its start, from the environment and a JSON file.

use super::instances;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use woadstall_decisions::api::Settings;
use woadstall_discovery::EndpointList;
use woadstall_membership_net::MembershipConfig;
use woadstall_operator_config::EvacuationConfig;
use woadstall_settings::Names;

/// Descriptors that are neither callers' nor upstreams': standard streams, listener, discovery, the runtime's,
/// and callers taken only to be refused, and those at the second address.
const RESERVED: usize = 64;
/// Less memory than this, in MB, cannot serve anybody.
const LEAST_MEMORY: usize = 8;
/// Fewer descriptors than this cannot serve anybody.
const LEAST_SOCKETS: usize = 96;

/// The whole configuration, checked.
pub struct Config {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators call, if they can.
    pub admin: Option<SocketAddr>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Its name, if it was told one.
    pub name: Option<String>,
    /// Membership among balancers, where the operators' file has it.
    pub instances: Option<MembershipConfig>,
    /// Leaving places as a fleet, where the operators' file has it.
    pub evacuation: Option<EvacuationConfig>,
    /// A folder that a successor shares, if there is one.
    pub shared: Option<PathBuf>,
    /// Seed of the random numbers, new with each start.
    pub seed: u64,
    /// What may be held.
    pub limits: Limits,
    /// The last list of upstreams.
    pub known: EndpointList,
    /// The settings of the decisions.
    pub settings: Settings,
    /// Their names.
    pub names: Names,
}

/// How the descriptors are shared out.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections to upstreams, idle ones included.
    pub upstreams: usize,
    /// Bytes of memory.
    pub memory: usize,
}

#[derive(Deserialize)]
struct Raw {
    name: Option<String>,
    listen: Option<String>,
    admin: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: RawLimits,
    #[serde(default)]
    known: EndpointList,
    settings: Value,
}

#[derive(Deserialize)]
struct RawLimits {
    memory_mb: usize,
    sockets: usize,
}

impl Config {
    /// Reads the file that `LB_CONFIG` names, and the operators' if `LB_OPERATOR` names one; the error is one line that
    /// names the field at fault.
    pub fn load() -> Result<Self, String> {
        let mut config = Self::parse(&file()?, variable("LB_LISTEN"), variable("LB_DISCOVERY"))?;
        if let Some(path) = variable("LB_OPERATOR") {
            let zone = config
                .names
                .zones
                .get(usize::from(config.settings.zone.0))
                .map(String::as_str);
            let read = instances::read(Path::new(&path), zone, config.name.as_deref());
            let read = read.map_err(|error| format!("`LB_OPERATOR` {path}: {error}"))?;
            (config.instances, config.evacuation) = (read.0, read.1);
        }
        Ok(config)
    }

    /// Reads the file once more. What it says of discovery is newer than the environment.
    pub fn load_again() -> Result<Self, String> {
        Self::parse(&file()?, variable("LB_LISTEN"), None)
    }

    /// Reads a configuration; addresses that are given go before those in the text.
    pub fn parse(
        text: &str,
        listen: Option<String>,
        discovery: Option<String>,
    ) -> Result<Self, String> {
        let raw: Raw = json("configuration", text)?;
        let settings = raw.settings.to_string();
        let names = woadstall_settings::parse_names(settings.as_bytes())
            .map_err(|error| error.to_string())?;
        let settings = woadstall_settings::parse_settings(settings.as_bytes())
            .map_err(|error| error.to_string())?;
        settings
            .check()
            .map_err(|error| format!("settings: {error}"))?;
        let sockets = raw.limits.sockets;
        if sockets < LEAST_SOCKETS {
            return Err(format!(
                "`limits.sockets` is {sockets}, fewer than {LEAST_SOCKETS}"
            ));
        }
        let memory = raw.limits.memory_mb;
        if memory < LEAST_MEMORY {
            return Err(format!(
                "`limits.memory_mb` is {memory}, less than {LEAST_MEMORY}"
            ));
        }
        // Every caller that waits has an attempt out.
        let share = (sockets - RESERVED) / 2;
        Ok(Self {
            listen: address("listen", listen.or(raw.listen))?,
            admin: variable("LB_ADMIN")
                .or(raw.admin)
                .map(|text| address("admin", Some(text)))
                .transpose()?,
            discovery: address("discovery", discovery.or(raw.discovery))?,
            name: variable("LB_NAME")
                .or(raw.name)
                .filter(|name| !name.is_empty()),
            instances: None,
            evacuation: None,
            shared: variable("TMPDIR").map(PathBuf::from),
            seed: u64::from_str_radix(&raw.seed, 16)
                .map_err(|_| format!("`seed` is not a hexadecimal number: {:?}", raw.seed))?,
            limits: Limits {
                callers: share,
                upstreams: share,
                memory: memory.saturating_mul(1 << 20),
            },
            known: raw.known,
            settings,
            names,
        })
    }
}

fn file() -> Result<String, String> {
    let path = variable("LB_CONFIG").ok_or("`LB_CONFIG` is not set")?;
    std::fs::read_to_string(&path).map_err(|error| format!("`LB_CONFIG` {path}: {error}"))
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn json<T: DeserializeOwned>(what: &str, text: &str) -> Result<T, String> {
    let mut text = serde_json::Deserializer::from_str(text);
    let value =
        serde_path_to_error::deserialize(&mut text).map_err(|error| format!("{what}: {error}"))?;
    text.end().map_err(|error| format!("{what}: {error}"))?;
    Ok(value)
}

fn address(field: &str, text: Option<String>) -> Result<SocketAddr, String> {
    let text = text.ok_or_else(|| format!("`{field}` is missing"))?;
    text.parse()
        .map_err(|_| format!("`{field}` is not an address with a port: {text:?}"))
}
