//! The builder of a plug-in, and its defaults.

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

/// Default number of bytes of a request body that are buffered for retries.
const DEFAULT_REPLAY_LIMIT: usize = 64 << 10;

/// Default maximum number of connections to one upstream.
const DEFAULT_CONNECTIONS: usize = 4;

/// Number of calls that the daemon would have in flight. Over HTTP/1.1 each call takes a connection.
const HTTP1_CALLS: usize = 128;

impl Balance {
    /// Returns a builder with the defaults.
    pub fn builder() -> Builder {
        Builder::default()
    }
}

/// Builds a [`Balance`]. Only [`Builder::settings`] is required.
#[derive(Clone)]
pub struct Builder {
    settings: Option<(Settings, Names)>,
    /// Path and class of each method.
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
    /// Sets the load-balancing settings, in the same JSON form as the daemon's. Required.
    ///
    /// # Errors
    ///
    /// [`BuildError::Settings`], if the settings cannot be parsed. Their values are validated by [`Builder::build`].
    pub fn settings(mut self, json: &[u8]) -> Result<Self, BuildError> {
        let settings = woadstall_settings::parse_settings(json).map_err(BuildError::Settings)?;
        let names = woadstall_settings::parse_names(json).map_err(BuildError::Settings)?;
        self.settings = Some((settings, names));
        Ok(self)
    }

    /// Sets the class of a method, which is identified by the path of its requests (`/package.Service/Method`). Calls
    /// whose class is given neither here nor in a [`crate::CallInfo`] are treated as unsafe to run twice, unless the
    /// first segment of their path is the name of a class.
    pub fn method(mut self, path: impl Into<String>, class: impl Into<String>) -> Self {
        self.methods.push((path.into(), class.into()));
        self
    }

    /// Applies the section `[plugin]` of an operators' file, given as its text: protocol, replay limit, connections and
    /// the classes of methods. The methods are added to those set with [`Builder::method`].
    ///
    /// # Errors
    ///
    /// [`BuildError::Operator`], if the text cannot be parsed or a value in it is invalid.
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

    /// Sets the address of discovery. Without discovery, which is the default, only [`Builder::known_endpoints`] and
    /// [`Balance::update_endpoints`] set the list of upstreams.
    pub fn discovery(mut self, address: SocketAddr) -> Self {
        self.discovery = Some(address);
        self
    }

    /// Sets the initial list of upstreams, which may be out of date. Empty by default.
    pub fn known_endpoints(mut self, endpoints: EndpointList) -> Self {
        self.known_endpoints = endpoints;
        self
    }

    /// Sets the seed of the random numbers. Instances must not share a seed. Random by default.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Sets the protocol of the connections to upstreams; HTTP/2 by default.
    pub fn protocol(mut self, protocol: Protocol) -> Self {
        self.protocol = protocol;
        self
    }

    /// Sets how many bytes of a request body are buffered for retries; 64 KiB by default. A request with a larger body
    /// is sent only once over HTTP/2, and rejected over HTTP/1.1.
    pub fn replay_limit(mut self, bytes: usize) -> Self {
        self.replay_limit = bytes;
        self
    }

    /// Sets the maximum number of connections; 4 by default and at least 1. Over HTTP/2 the maximum applies to each
    /// upstream. Over HTTP/1.1, 128 times the maximum applies to all upstreams together, because each call takes a
    /// connection and the daemon would have 128 calls in flight.
    pub fn connections(mut self, max: usize) -> Self {
        self.connections = max;
        self
    }

    /// Sets the function that receives log lines for operators. By default log lines are discarded.
    pub fn log(mut self, log: impl Fn(fmt::Arguments<'_>) + Send + Sync + 'static) -> Self {
        self.log = Arc::new(log);
        self
    }

    /// Starts the plug-in on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// [`BuildError::NoSettings`] or [`BuildError::NoConnections`], if the builder is incomplete;
    /// [`BuildError::UnknownClass`] or [`BuildError::DuplicateMethod`], if the class of a method is invalid;
    /// [`BuildError::Start`], if the settings are inconsistent or there is no current tokio runtime.
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

/// Returns a random seed from the standard library's hasher, whose keys come from the operating system.
fn random_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}
