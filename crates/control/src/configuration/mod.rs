//! The operator's configuration of routes, services and limits, parsed from JSON and fully
//! validated.

mod read;

use crate::reader::Findings;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How often a request may be executed. The type decides whether a failed request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteType {
    /// A request may be executed more than once.
    Safe,
    /// A request may be executed at most once each time that a client sends it.
    NonIdempotent,
    /// The response is an event stream. A request may be executed at most once each time that a
    /// client sends it, unless its stream is resumable.
    Streaming,
}

/// A route: the rules for requests to a host and a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route, which is unique.
    pub name: String,
    /// The host name, in lower case.
    pub host: String,
    /// The path prefix, beginning and ending with a slash.
    pub path_prefix: String,
    /// How often a request of this route may be executed.
    pub route_type: RouteType,
    /// The time-out of one request.
    pub timeout: Duration,
    /// The latency target of a complete response, or of the first event of a stream.
    pub target_latency: Duration,
    /// The target interval between the events of a stream (`gap_aim_ms`), if the operator sets one.
    pub inter_event_target: Option<Duration>,
    /// The priority class; 0 is the highest.
    pub priority: u8,
    /// The services that share the route's traffic.
    pub targets: Vec<WeightedService>,
    /// The maximum number of upstreams to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests identify the parts of their prompts, which upstreams hold in their prefix
    /// caches.
    pub session_affinity: bool,
    /// Whether a stream may be resumed at another upstream.
    pub resumable: bool,
    /// The regions in which requests may be served; empty if there is no restriction.
    pub allowed_regions: Vec<String>,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The name of the service.
    pub service: String,
    /// The share of the service, relative to the weights of the route's other services.
    pub weight: u64,
}

impl Route {
    /// Returns whether a request may be retried after an attempt that may have been executed.
    pub fn is_idempotent(&self) -> bool {
        match self.route_type {
            RouteType::Safe => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.resumable,
        }
    }
}

/// The inference engine of an upstream in a model service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// The maximum number of requests in one batch.
    pub capacity: u64,
    /// The size of the KV cache in tokens, shared by running requests and the prefix cache.
    pub kv_capacity_tokens: u64,
}

/// A group of upstreams that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name of the service, which is unique.
    pub name: String,
    /// The path of the health check; empty if the configuration sets none.
    pub health_check: String,
    /// The number of connections that one upstream accepts from all callers together.
    pub max_connections: u64,
    /// The warm-up time of an upstream that starts while traffic is running (`cold_start_s`).
    pub slow_start: Duration,
    /// The rate limit of an upstream during its warm-up, in requests per second; 0 if there is no
    /// limit.
    pub warmup_per_s: f64,
    /// The inference engine, if the service is a model service.
    pub engine: Option<Engine>,
}

/// Limits on client connections and requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The maximum size of a request's header in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// The time-out for receiving a request's header.
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

/// A valid configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The generation, which rises with each change of the configuration.
    pub generation: u64,
    /// The routes, in the order of the document.
    pub routes: Vec<Route>,
    /// The services, keyed by name.
    pub services: BTreeMap<String, Service>,
    /// The limits on client connections and requests.
    pub limits: Limits,
    /// The indices of each host's routes in `routes`, longest path prefix first.
    by_host: HashMap<String, Vec<usize>>,
}

impl Configuration {
    /// Parses and fully validates a configuration.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its path, if the document is not a valid configuration.
    pub fn read(document: &Value) -> Result<Self, Findings> {
        read::read_configuration(document)
    }

    /// Returns the route of a request: the one with the longest matching path prefix among the
    /// routes of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes_of(host)
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the routes of a host, longest path prefix first. The host may include a port, which
    /// is ignored.
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
