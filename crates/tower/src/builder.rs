//! How a plug-in is set up.

use crate::ask::Classes;
use crate::service::Balance;
use crate::wire::Wire;
use std::fmt;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use woadstall_discovery::EndpointList;
use woadstall_engine::Settings;
use woadstall_operator_config::OperatorConfig;
use woadstall_runtime::{LoadBalancerConfig, LogSink};
use woadstall_settings::Names;
use woadstall_transport::{Http1, Http2, Http2Limits};

/// What is wrong with how a plug-in is set up; the text names what is at fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BuildError(pub(crate) String);

impl fmt::Display for BuildError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BuildError {}

/// What upstreams speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Protocol {
    /// HTTP/1.1: one call at a time on a connection; bodies up to the replay limit either way, read whole.
    Http1,
    /// HTTP/2 with prior knowledge, as gRPC uses it.
    #[default]
    Http2,
}

/// Sets up a [`Balance`].
#[derive(Clone)]
pub struct Builder {
    settings: Option<(Settings, Names)>,
    methods: Vec<(String, String)>,
    discovery: Option<SocketAddr>,
    known: EndpointList,
    seed: Option<u64>,
    protocol: Protocol,
    replay_limit: usize,
    connections: usize,
    log: LogSink,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            settings: None,
            methods: Vec::new(),
            discovery: None,
            known: EndpointList::default(),
            seed: None,
            protocol: Protocol::default(),
            replay_limit: 64 << 10,
            connections: 4,
            log: Arc::new(|_| {}),
        }
    }
}

impl Builder {
    /// The settings of the decisions, in the JSON form that the daemon gets too. Needed.
    pub fn settings(mut self, json: &[u8]) -> Result<Self, BuildError> {
        let error = |error: woadstall_settings::ParseError| BuildError(error.to_string());
        let settings = woadstall_settings::parse_settings(json).map_err(error)?;
        self.settings = Some((
            settings,
            woadstall_settings::parse_names(json).map_err(error)?,
        ));
        Ok(self)
    }

    /// The class of a method, by the path of its requests (`/package.Service/Method`). A method that is neither
    /// named here nor in a call's [`crate::CallInfo`] counts as unsafe to repeat, unless the first part of its
    /// path is a class's name.
    pub fn method(mut self, path: impl Into<String>, class: impl Into<String>) -> Self {
        self.methods.push((path.into(), class.into()));
        self
    }

    /// Takes the section `[plugin]` of the operators' file, in addition to methods that are named otherwise.
    pub fn operator(mut self, file: &str) -> Result<Self, BuildError> {
        let plugin = OperatorConfig::parse(file)
            .map_err(|fault| BuildError(fault.to_string()))?
            .plugin;
        self.protocol = match plugin.protocol {
            woadstall_operator_config::Protocol::Http1 => Protocol::Http1,
            woadstall_operator_config::Protocol::Http2 => Protocol::Http2,
        };
        (self.replay_limit, self.connections) = (plugin.replay_limit_bytes, plugin.max_connections);
        self.methods.extend(plugin.method_classes);
        Ok(self)
    }

    /// Where discovery is; without it, the list stays as it is known or told by [`Balance::list`].
    pub fn discovery(mut self, address: SocketAddr) -> Self {
        self.discovery = Some(address);
        self
    }

    /// The list of upstreams as it is known already; it may be old.
    pub fn known(mut self, known: EndpointList) -> Self {
        self.known = known;
        self
    }

    /// Seed of the random numbers. Instances must not share one; by default it is random.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// What upstreams speak; HTTP/2 by default.
    pub fn protocol(mut self, protocol: Protocol) -> Self {
        self.protocol = protocol;
        self
    }

    /// How much of a request's body is held so that it can be sent again, in bytes, 64 KiB by default. A larger
    /// one is sent once, over HTTP/2, or refused, over HTTP/1.1.
    pub fn replay_limit(mut self, bytes: usize) -> Self {
        self.replay_limit = bytes;
        self
    }

    /// Most connections: over HTTP/2 to one upstream (4 by default), over HTTP/1.1 that many for each call that
    /// the daemon would hold, 128 times as many in all.
    pub fn connections(mut self, most: usize) -> Self {
        self.connections = most;
        self
    }

    /// Where lines for the operators go; nowhere by default.
    pub fn log(mut self, log: impl Fn(fmt::Arguments<'_>) + Send + Sync + 'static) -> Self {
        self.log = Arc::new(log);
        self
    }

    /// Starts the plug-in on the tokio runtime that this is called in.
    pub fn build(self) -> Result<Balance, BuildError> {
        let (mut settings, names) = self
            .settings
            .ok_or(BuildError("no settings are given".into()))?;
        if self.connections == 0 {
            return Err(BuildError("`connections` is 0".into()));
        }
        let classes =
            Classes::new(&mut settings, names.clone(), &self.methods).map_err(BuildError)?;
        let idle = Duration::from_nanos(settings.idle_timeout);
        let wire = match self.protocol {
            Protocol::Http1 => Wire::Http1(Http1::new(
                &names,
                idle,
                self.connections.saturating_mul(128),
                self.replay_limit,
            )),
            Protocol::Http2 => {
                let limits = Http2Limits {
                    max_connections: self.connections,
                    ..Http2Limits::new(&names, idle)
                };
                Wire::Http2(Http2::new(limits))
            }
        };
        let seed = self
            .seed
            .unwrap_or_else(|| RandomState::new().build_hasher().finish());
        let setup = LoadBalancerConfig {
            settings,
            names,
            seed,
            known_endpoints: self.known,
        };
        let balance = woadstall_runtime::LoadBalancer::new(setup, wire, self.log)
            .map_err(|error| BuildError(error.to_string()))?;
        let discovery = self.discovery.map(|address| {
            let (at, addresses) = watch::channel(address);
            balance.watch_discovery(addresses);
            at
        });
        Ok(Balance::new(
            balance,
            classes,
            discovery,
            self.protocol,
            self.replay_limit,
        ))
    }
}
