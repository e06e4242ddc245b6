//! Parses a configuration from JSON. All findings are collected, each with its path.

use super::{Configuration, Engine, Limits, Route, RouteType, Service, WeightedService};
use crate::reader::{FieldReader, Findings};
use serde_json::Value;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

type Services = BTreeMap<String, Service>;

pub(super) fn read_configuration(document: &Value) -> Result<Configuration, Findings> {
    let root = FieldReader::new(document);
    if !document.is_object() {
        return Err(Findings::one(root.path(), "must be an object"));
    }
    let mut findings = Findings::default();
    let generation = root.field("generation").integer(&mut findings);
    let services = read_services(&root, &mut findings);
    let routes = read_routes(&root, &services, &mut findings);
    let limits = read_limits(&root.field("limits"), &mut findings);
    if !findings.is_empty() {
        return Err(findings);
    }
    let by_host = index_by_host(&routes);
    Ok(Configuration {
        generation,
        routes,
        services,
        limits,
        by_host,
    })
}

fn index_by_host(routes: &[Route]) -> HashMap<String, Vec<usize>> {
    let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
    for (position, route) in routes.iter().enumerate() {
        by_host
            .entry(route.host.clone())
            .or_default()
            .push(position);
    }
    for positions in by_host.values_mut() {
        positions.sort_by_key(|position| Reverse(routes[*position].path_prefix.len()));
    }
    by_host
}

fn read_services(root: &FieldReader<'_>, findings: &mut Findings) -> Services {
    let mut services = Services::new();
    for item in root.field("services").items(findings) {
        let service = read_service(&item, findings);
        if services.insert(service.name.clone(), service).is_some() {
            findings.add(
                item.field("name").path(),
                "is the name of another service too",
            );
        }
    }
    services
}

fn read_service(item: &FieldReader<'_>, findings: &mut Findings) -> Service {
    let engine = read_engine(&item.field("engine"), findings);
    let slow_start_s = item.field("cold_start_s").number_or(0.0, findings);
    Service {
        name: item.field("name").string(findings),
        health_check: item
            .field("health_check")
            .optional_string(findings)
            .unwrap_or_default(),
        max_connections: item.field("max_connections").integer_or(u64::MAX, findings),
        slow_start: Duration::try_from_secs_f64(slow_start_s).unwrap_or(Duration::ZERO),
        warmup_per_s: item.field("warmup_per_s").number_or(0.0, findings),
        engine,
    }
}

fn read_engine(field: &FieldReader<'_>, findings: &mut Findings) -> Option<Engine> {
    field.value()?;
    Some(Engine {
        capacity: field.field("capacity").integer_or(1, findings).max(1),
        kv_capacity_tokens: field
            .field("kv_capacity_tokens")
            .integer_or(u64::MAX, findings),
    })
}

fn read_routes(root: &FieldReader<'_>, services: &Services, findings: &mut Findings) -> Vec<Route> {
    let items = root.field("routes").items(findings);
    let routes: Vec<Route> = items
        .iter()
        .map(|item| read_route(item, services, findings))
        .collect();
    check_unique(&routes, findings);
    routes
}

fn read_route(item: &FieldReader<'_>, services: &Services, findings: &mut Findings) -> Route {
    let path_prefix = read_path_prefix(&item.field("path_prefix"), findings);
    let route_type = read_route_type(&item.field("route_type"), findings);
    let timeout_ms = read_timeout_ms(&item.field("timeout_ms"), findings);
    let regions = item.field("allowed_regions").items(findings);
    let inter_event_target = item.field("gap_aim_ms");
    Route {
        name: item.field("name").string(findings),
        host: item.field("host").string(findings).to_ascii_lowercase(),
        path_prefix,
        route_type,
        timeout: Duration::from_millis(timeout_ms),
        target_latency: millis_or(&item.field("target_latency_ms"), timeout_ms, findings),
        inter_event_target: inter_event_target
            .value()
            .map(|_| millis_or(&inter_event_target, 0, findings)),
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

fn read_path_prefix(field: &FieldReader<'_>, findings: &mut Findings) -> String {
    let prefix = field.string(findings);
    let has_slashes = prefix.starts_with('/') && prefix.ends_with('/');
    if !prefix.is_empty() && !has_slashes {
        findings.add(field.path(), "must begin and end with a slash");
    }
    prefix
}

fn read_route_type(field: &FieldReader<'_>, findings: &mut Findings) -> RouteType {
    match field.string(findings).as_str() {
        "safe" => RouteType::Safe,
        "streaming" => RouteType::Streaming,
        "non_idempotent" | "" => RouteType::NonIdempotent,
        other => {
            findings.add(field.path(), format!("{other:?} is no type of route"));
            RouteType::NonIdempotent
        }
    }
}

fn read_timeout_ms(field: &FieldReader<'_>, findings: &mut Findings) -> u64 {
    let timeout_ms = field.integer(findings);
    if field.value().and_then(Value::as_u64) == Some(0) {
        findings.add(field.path(), "must be above 0");
    }
    timeout_ms
}

fn read_targets(
    item: &FieldReader<'_>,
    services: &Services,
    findings: &mut Findings,
) -> Vec<WeightedService> {
    let split = item.field("traffic_split");
    if split.value().is_none() {
        let service = read_service_name(&item.field("service"), services, findings);
        return vec![WeightedService { service, weight: 1 }];
    }
    let mut targets = Vec::new();
    for target in split.items(findings) {
        let service = read_service_name(&target.field("service"), services, findings);
        let weight = target.field("weight").integer(findings);
        targets.push(WeightedService { service, weight });
    }
    if targets.iter().map(|target| target.weight).sum::<u64>() == 0 {
        findings.add(split.path(), "has weights that add up to 0");
    }
    targets
}

fn read_service_name(
    field: &FieldReader<'_>,
    services: &Services,
    findings: &mut Findings,
) -> String {
    let service = field.string(findings);
    if !service.is_empty() && !services.contains_key(&service) {
        findings.add(
            field.path(),
            format!("names an unknown service {service:?}"),
        );
    }
    service
}

/// Checks that no two routes share a name, or both host and path prefix.
fn check_unique(routes: &[Route], findings: &mut Findings) {
    let (mut prefixes, mut names) = (HashSet::new(), HashSet::new());
    for (position, route) in routes.iter().enumerate() {
        if !prefixes.insert((&route.host, &route.path_prefix)) {
            let problem = "shares its host and path prefix with another route";
            findings.add(format!("routes[{position}]"), problem);
        }
        if !names.insert(&route.name) {
            findings.add(
                format!("routes[{position}].name"),
                "is the name of another route too",
            );
        }
    }
}

fn read_limits(reader: &FieldReader<'_>, findings: &mut Findings) -> Limits {
    let default = Limits::default();
    let mut size = |name: &str, default: usize| {
        let bytes = reader.field(name).integer_or(default as u64, findings);
        usize::try_from(bytes).unwrap_or(usize::MAX)
    };
    let max_header_bytes = size("max_header_bytes", default.max_header_bytes);
    let max_body_bytes = size("max_body_bytes", default.max_body_bytes);
    let mut time = |name: &str, default: Duration| {
        let default_ms = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        millis_or(&reader.field(name), default_ms, findings)
    };
    let header_timeout = time("header_timeout_ms", default.header_timeout);
    let idle_timeout = time("idle_timeout_ms", default.idle_timeout);
    Limits {
        max_header_bytes,
        max_body_bytes,
        header_timeout,
        idle_timeout,
    }
}

fn millis_or(reader: &FieldReader<'_>, default_ms: u64, findings: &mut Findings) -> Duration {
    Duration::from_millis(reader.integer_or(default_ms, findings))
}
