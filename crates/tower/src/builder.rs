//! How a plug-in is set up, with the defaults of what is not said.

use crate::call_classes::CallClasses;
use crate::error::BuildError;
use crate::service::{Balance, Shared};
use crate::upstream_transport::{Protocol, UpstreamTransport};
use std::fmt;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use woadstall_discovery::EndpointList;
use woadstall_engine::Settings;
use woadstall_operator_config::OperatorConfig;
use woadstall_runtime::{LoadBalancer, LoadBalancerConfig, LogSink};
use woadstall_settings::Names;
use woadstall_transport::{Http1, Http2, Http2Limits};

/// Bytes of a request's body that are buffered by default.
const DEFAULT_REPLAY_LIMIT: usize = 64 << 10;

/// Connections to one upstream by default.
const DEFAULT_CONNECTIONS: usize = 4;

/// Calls that the daemon would have in flight; over HTTP/1.1 each takes a connection.
const HTTP1_CALLS: usize = 128;

impl Balance {
    /// Sets one up.
    pub fn builder() -> Builder {
        Builder::default()
    }
}

/// Sets up a [`Balance`]; only the settings are required.
#[derive(Clone)]
pub struct Builder {
    settings: Option<(Settings, Names)>,
    /// Paths of methods, and the class of each.
    methods: Vec<(String, String)>,
    discovery: Option<SocketAddr>,
    known_endpoints: EndpointList,
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
            known_endpoints: EndpointList::default(),
            seed: None,
            protocol: Protocol::default(),
            replay_limit: DEFAULT_REPLAY_LIMIT,
            connections: DEFAULT_CONNECTIONS,
            log: Arc::new(|_| {}),
        }
    }
}

impl Builder {
    /// The settings of the decisions, in the JSON form that the daemon gets too. Required.
    ///
    /// # Errors
    ///
    /// [`BuildError::Settings`], if they cannot be read. Whether their values make sense shows at
    /// [`Builder::build`].
    pub fn settings(mut self, json: &[u8]) -> Result<Self, BuildError> {
        let settings = woadstall_settings::parse_settings(json).map_err(BuildError::Settings)?;
        let names = woadstall_settings::parse_names(json).map_err(BuildError::Settings)?;
        self.settings = Some((settings, names));
        Ok(self)
    }

    /// The class of a method, by the path of its requests (`/package.Service/Method`). A method that is neither
    /// named here nor in a call's [`crate::CallInfo`] counts as unsafe to repeat, unless the first part of its
    /// path is a class's name.
    pub fn method(mut self, path: impl Into<String>, class: impl Into<String>) -> Self {
        self.methods.push((path.into(), class.into()));
        self
    }

    /// Takes the section `[plugin]` of the operators' file: protocol, replay limit and connections, and the
    /// classes of methods, in addition to methods that are named otherwise.
    ///
    /// # Errors
    ///
    /// [`BuildError::Operator`], if the file cannot be read or a value in it makes no sense.
    pub fn operator_config(mut self, file: &str) -> Result<Self, BuildError> {
        let config = OperatorConfig::parse(file).map_err(BuildError::Operator)?;
        let plugin = config.plugin;
        self.protocol = match plugin.protocol {
            woadstall_operator_config::Protocol::Http1 => Protocol::Http1,
            woadstall_operator_config::Protocol::Http2 => Protocol::Http2,
        };
        self.replay_limit = plugin.replay_limit_bytes;
        self.connections = plugin.max_connections;
        self.methods.extend(plugin.method_classes);
        Ok(self)
    }

    /// Where discovery is. By default nowhere: the endpoint list stays as it is known, or as [`Balance::update_endpoints`]
    /// changes it.
    pub fn discovery(mut self, address: SocketAddr) -> Self {
        self.discovery = Some(address);
        self
    }

    /// The list of upstreams as it is known already; it may be old. Empty by default.
    pub fn known_endpoints(mut self, endpoints: EndpointList) -> Self {
        self.known_endpoints = endpoints;
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

    /// How much of a request's body is buffered so that it can be sent again, in bytes, 64 KiB by default. A larger
    /// one is sent once, over HTTP/2, or refused, over HTTP/1.1.
    pub fn replay_limit(mut self, bytes: usize) -> Self {
        self.replay_limit = bytes;
        self
    }

    /// Most connections: over HTTP/2 to one upstream (4 by default), over HTTP/1.1 that many for each call that
    /// the daemon would have in flight, 128 times as many in all. At least 1.
    pub fn connections(mut self, max: usize) -> Self {
        self.connections = max;
        self
    }

    /// Where log lines for the operators go; nowhere by default.
    pub fn log(mut self, log: impl Fn(fmt::Arguments<'_>) + Send + Sync + 'static) -> Self {
        self.log = Arc::new(log);
        self
    }

    /// Starts the plug-in on the tokio runtime that this is called in.
    ///
    /// # Errors
    ///
    /// [`BuildError::NoSettings`] and [`BuildError::NoConnections`]; [`BuildError::UnknownClass`] and
    /// [`BuildError::DuplicateMethod`], of a method's class; [`BuildError::Start`], if the settings make no sense
    /// or this is called outside a tokio runtime.
    pub fn build(self) -> Result<Balance, BuildError> {
        let (mut settings, names) = self.settings.ok_or(BuildError::NoSettings)?;
        if self.connections == 0 {
            return Err(BuildError::NoConnections);
        }
        let classes = CallClasses::new(&mut settings, names.clone(), &self.methods)?;
        let idle_timeout = Duration::from_nanos(settings.idle_timeout);
        let transport = match self.protocol {
            Protocol::Http1 => UpstreamTransport::Http1(Http1::new(
                &names,
                idle_timeout,
                self.connections.saturating_mul(HTTP1_CALLS),
                self.replay_limit,
            )),
            Protocol::Http2 => UpstreamTransport::Http2(Http2::new(Http2Limits {
                max_connections: self.connections,
                ..Http2Limits::new(&names, idle_timeout)
            })),
        };
        let config = LoadBalancerConfig {
            settings,
            names,
            seed: self.seed.unwrap_or_else(random_seed),
            known_endpoints: self.known_endpoints,
        };
        let load_balancer =
            LoadBalancer::new(config, transport, self.log).map_err(BuildError::Start)?;
        let discovery = self.discovery.map(|address| {
            let (sender, addresses) = watch::channel(address);
            load_balancer.watch_discovery(addresses);
            sender
        });
        Ok(Balance::new(Shared {
            load_balancer,
            classes,
            discovery,
            protocol: self.protocol,
            replay_limit: self.replay_limit,
        }))
    }
}

/// A seed from the standard library's hasher, which takes its keys from the operating system.
fn random_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}
