//! The operator's configuration: routes, services, limits. It is read from JSON and checked
//! completely.

mod read;

use crate::reader::Findings;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How often a request may run, which decides whether a failed one may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteType {
    /// It may run more than once.
    Safe,
    /// It may run at most once for each time that a client sends it.
    NonIdempotent,
    /// A stream of events; it may run at most once for each time that a client sends it, unless it
    /// may be resumed.
    Streaming,
}

/// Where requests of a host and a path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// How often its requests may run.
    pub route_type: RouteType,
    /// The time-out of a request.
    pub timeout: Duration,
    /// The latency target of a response, or of a stream's first event.
    pub target_latency: Duration,
    /// The latency target from one event of a stream to the next (`gap_aim_ms`), where the operator
    /// names one.
    pub inter_event_target: Option<Duration>,
    /// Its priority class; 0 is the highest.
    pub priority: u8,
    /// The services that it may go to.
    pub targets: Vec<WeightedService>,
    /// The number of upstreams that one request may be sent to, at most.
    pub max_attempts: u32,
    /// Whether requests name the parts of their prompts, which upstreams have in their prefix
    /// caches.
    pub session_affinity: bool,
    /// Whether a stream may be resumed at another upstream.
    pub resumable: bool,
    /// The regions in which it may be served; all where there is none.
    pub allowed_regions: Vec<String>,
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its share, relative to the weights of the route's other services.
    pub weight: u64,
}

impl Route {
    /// Whether a request may be retried after it may have run.
    pub fn is_idempotent(&self) -> bool {
        match self.route_type {
            RouteType::Safe => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.resumable,
        }
    }
}

/// The engine of a model service's upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// The number of requests in one batch.
    pub capacity: u64,
    /// The number of tokens in the KV cache, for running requests and the prefix cache together.
    pub kv_capacity_tokens: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The path of its health check.
    pub health_check: String,
    /// The number of connections that an upstream accepts from all callers together.
    pub max_connections: u64,
    /// How long an upstream warms up after a start during traffic (`cold_start_s`).
    pub slow_start: Duration,
    /// The rate limit of an upstream that warms up, in requests a second; 0 where there is none.
    pub warmup_per_s: f64,
    /// The engine, where it serves a model.
    pub engine: Option<Engine>,
}

/// Limits of clients' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a request's header at most.
    pub max_header_bytes: usize,
    /// Bytes of a request's body at most.
    pub max_body_bytes: usize,
    /// The time-out for a request's header.
    pub header_timeout: Duration,
    /// The time-out of an idle connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A configuration that is valid.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub generation: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// The limits.
    pub limits: Limits,
    /// The positions of each host's routes, those with the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
}

impl Configuration {
    /// Reads and checks a configuration completely.
    ///
    /// # Errors
    ///
    /// All findings, each with its path, where the document is not a valid configuration.
    pub fn read(document: &Value) -> Result<Self, Findings> {
        read::configuration(document)
    }

    /// The route of a request: the one of its host with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes_of(host)
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// The routes of a host, with or without a port, those with the longest prefix first.
    pub fn routes_of(&self, host: &str) -> impl Iterator<Item = &Route> {
        let host = host
            .rsplit_once(':')
            .filter(|(_, port)| is_port(port))
            .map_or(host, |(name, _)| name);
        let indices = self
            .by_host
            .get(host)
            .or_else(|| self.by_host.get(&host.to_ascii_lowercase()));
        indices
            .into_iter()
            .flatten()
            .map(|index| &self.routes[*index])
    }
}

fn is_port(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}
