//! The operator's configuration: routes, services, limits. Read from JSON, checked whole.

use crate::reader::{FieldReader, Findings};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// What may be done with a request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteType {
    /// It may run more than once.
    Safe,
    /// It may run once a try at most.
    NonIdempotent,
    /// A stream of events; it may run once a try at most, unless it may be resumed.
    Streaming,
}

/// Where requests of a host and a path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub route_type: RouteType,
    /// The longest time for which a request may be held.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, earns its full worth.
    pub target_latency: Duration,
    /// The longest pause between events of a stream that keeps it in time, where the operator names one.
    pub inter_event_target: Option<Duration>,
    /// Its rank; 0 is the highest.
    pub priority: u8,
    /// The services that it may go to.
    pub targets: Vec<WeightedService>,
    /// The most upstreams that one request may go to.
    pub max_attempts: u32,
    /// Whether requests name parts of their prompts, which upstreams keep.
    pub session_affinity: bool,
    /// Whether a stream may be taken up at another upstream.
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
    /// Whether a request may run a second time after it may have run.
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
    /// Requests in one batch.
    pub capacity: u64,
    /// Tokens that running requests and kept prompts share.
    pub kv_capacity_tokens: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The path of its health check.
    pub health_check: String,
    /// Connections that an upstream takes from all callers together.
    pub max_connections: u64,
    /// How long an upstream is cold after a start during traffic.
    pub slow_start: Duration,
    /// Requests a second that a cold upstream bears; 0 where there is no such bound.
    pub warmup_per_s: f64,
    /// The engine, where it serves a model.
    pub engine: Option<Engine>,
}

/// What a client may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a head.
    pub max_header_bytes: usize,
    /// Bytes of a body.
    pub max_body_bytes: usize,
    /// The time for a head.
    pub header_timeout: Duration,
    /// How long a connection may rest.
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

/// A configuration that was checked.
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
    by_host: HashMap<String, Vec<usize>>,
}

impl Configuration {
    /// Reads and checks a configuration whole. The findings name each fault with its place.
    pub fn read(document: &Value) -> Result<Self, Findings> {
        let findings = &mut Findings::default();
        let root = FieldReader::new(document);
        if !document.is_object() {
            findings.add(root.path(), "must be an object");
            return Err(std::mem::take(findings));
        }
        let generation = root.field("generation").integer(findings);
        let mut services = BTreeMap::new();
        for item in root.field("services").items(findings) {
            let service = read_service(&item, findings);
            if services.insert(service.name.clone(), service).is_some() {
                findings.add(
                    item.field("name").path(),
                    "is the name of another service too",
                );
            }
        }
        let routes = root.field("routes").items(findings);
        let routes: Vec<Route> = routes
            .iter()
            .map(|item| read_route(item, &services, findings))
            .collect();
        check_places(&routes, findings);
        let limits = read_limits(&root.field("limits"), findings);
        if !findings.is_empty() {
            return Err(std::mem::take(findings));
        }
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(routes[*index].path_prefix.len()));
        }
        Ok(Self {
            generation,
            routes,
            services,
            limits,
            by_host,
        })
    }

    /// The route of a request: the one of its host with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes_of(host)
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// The routes of a host, with or without a port, in the order in which they are tried.
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

fn millis(reader: &FieldReader<'_>, default: u64, findings: &mut Findings) -> Duration {
    Duration::from_millis(reader.integer_or(default, findings))
}

fn read_service(item: &FieldReader<'_>, findings: &mut Findings) -> Service {
    let engine = item.field("engine");
    let engine = engine.value().is_some().then(|| Engine {
        capacity: engine.field("capacity").integer_or(1, findings).max(1),
        kv_capacity_tokens: engine
            .field("kv_capacity_tokens")
            .integer_or(u64::MAX, findings),
    });
    let cold_start = item.field("cold_start_s").number_or(0.0, findings);
    Service {
        name: item.field("name").string(findings),
        health_check: item
            .field("health_check")
            .optional_string(findings)
            .unwrap_or_default(),
        max_connections: item.field("max_connections").integer_or(u64::MAX, findings),
        slow_start: Duration::try_from_secs_f64(cold_start).unwrap_or(Duration::ZERO),
        warmup_per_s: item.field("warmup_per_s").number_or(0.0, findings),
        engine,
    }
}

fn read_route(
    item: &FieldReader<'_>,
    services: &BTreeMap<String, Service>,
    findings: &mut Findings,
) -> Route {
    let path_prefix = item.field("path_prefix").string(findings);
    let has_slashes = path_prefix.starts_with('/') && path_prefix.ends_with('/');
    if !path_prefix.is_empty() && !has_slashes {
        findings.add(
            item.field("path_prefix").path(),
            "must begin and end with a slash",
        );
    }
    let route_type = item.field("route_type");
    let route_type = match route_type.string(findings).as_str() {
        "safe" => RouteType::Safe,
        "streaming" => RouteType::Streaming,
        "non_idempotent" | "" => RouteType::NonIdempotent,
        other => {
            findings.add(route_type.path(), format!("{other:?} is no type of route"));
            RouteType::NonIdempotent
        }
    };
    let timeout = item.field("timeout_ms");
    let timeout_ms = timeout.integer(findings);
    if timeout.value().and_then(Value::as_u64) == Some(0) {
        findings.add(timeout.path(), "must be above 0");
    }
    let regions = item.field("allowed_regions").items(findings);
    let inter_event_target = item.field("gap_aim_ms");
    Route {
        name: item.field("name").string(findings),
        host: item.field("host").string(findings).to_ascii_lowercase(),
        path_prefix,
        route_type,
        timeout: Duration::from_millis(timeout_ms),
        target_latency: millis(&item.field("target_latency_ms"), timeout_ms, findings),
        inter_event_target: inter_event_target
            .value()
            .map(|_| millis(&inter_event_target, 0, findings)),
        priority: u8::try_from(item.field("priority").integer_or(0, findings)).unwrap_or(u8::MAX),
        targets: read_targets(item, services, findings),
        max_attempts: u32::try_from(item.field("max_attempts").integer_or(1, findings))
            .unwrap_or(u32::MAX),
        session_affinity: item.field("session_affinity").bool_or(false, findings),
        resumable: item.field("resumable").bool_or(false, findings),
        allowed_regions: regions
            .iter()
            .map(|region| region.string(findings))
            .collect(),
    }
}

fn read_targets(
    item: &FieldReader<'_>,
    services: &BTreeMap<String, Service>,
    findings: &mut Findings,
) -> Vec<WeightedService> {
    let split = item.field("traffic_split");
    let named = |reader: &FieldReader<'_>, findings: &mut Findings| {
        let service = reader.string(findings);
        if !service.is_empty() && !services.contains_key(&service) {
            findings.add(
                reader.path(),
                format!("names an unknown service {service:?}"),
            );
        }
        service
    };
    if split.value().is_none() {
        return vec![WeightedService {
            service: named(&item.field("service"), findings),
            weight: 1,
        }];
    }
    let mut targets = Vec::new();
    for target in split.items(findings) {
        let service = named(&target.field("service"), findings);
        targets.push(WeightedService {
            service,
            weight: target.field("weight").integer(findings),
        });
    }
    if targets.iter().map(|target| target.weight).sum::<u64>() == 0 {
        findings.add(split.path(), "has weights that add up to 0");
    }
    targets
}

/// Two routes must not share a host and a prefix, nor a name.
fn check_places(routes: &[Route], findings: &mut Findings) {
    let (mut places, mut names) = (HashSet::new(), HashSet::new());
    for (index, route) in routes.iter().enumerate() {
        if !places.insert((&route.host, &route.path_prefix)) {
            findings.add(
                format!("routes[{index}]"),
                "shares its host and path prefix with another route",
            );
        }
        if !names.insert(&route.name) {
            findings.add(
                format!("routes[{index}].name"),
                "is the name of another route too",
            );
        }
    }
}

fn read_limits(reader: &FieldReader<'_>, findings: &mut Findings) -> Limits {
    let default = Limits::default();
    let size = |field: &FieldReader<'_>, default: usize, findings: &mut Findings| {
        usize::try_from(field.integer_or(default as u64, findings)).unwrap_or(usize::MAX)
    };
    let time = |field: &FieldReader<'_>, default: Duration, findings: &mut Findings| {
        millis(
            field,
            u64::try_from(default.as_millis()).unwrap_or(u64::MAX),
            findings,
        )
    };
    Limits {
        max_header_bytes: size(
            &reader.field("max_header_bytes"),
            default.max_header_bytes,
            findings,
        ),
        max_body_bytes: size(
            &reader.field("max_body_bytes"),
            default.max_body_bytes,
            findings,
        ),
        header_timeout: time(
            &reader.field("header_timeout_ms"),
            default.header_timeout,
            findings,
        ),
        idle_timeout: time(
            &reader.field("idle_timeout_ms"),
            default.idle_timeout,
            findings,
        ),
    }
}
