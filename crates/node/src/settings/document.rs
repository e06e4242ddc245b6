//! Parses the settings document. Findings are listed in the order in which the fields are parsed.

use super::{NodeSettings, PortRange};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;
use woadstall_control::reader::{FieldReader, Findings};
use woadstall_routing::RoutingLimits;

/// Placeholder for a missing or invalid address, so that the remaining fields are still checked.
const INVALID_IP: IpAddr = IpAddr::V4(Ipv4Addr::UNSPECIFIED);

/// Parses the settings in a document. Returns findings for all missing or invalid fields on
/// failure.
pub(super) fn parse(document: &Value) -> Result<NodeSettings, Findings> {
    let findings = &mut Findings::default();
    let root = FieldReader::new(document);
    let limits = root.field("limits");
    let internal_ports = port_range(&root.field("ephemeral_ports"), findings);
    let settings = NodeSettings {
        node: root.field("node").string(findings),
        ip: parse_string(&root.field("ip"), findings).unwrap_or(INVALID_IP),
        zone: root.field("zone").string(findings),
        region: root.field("region").string(findings),
        zones: string_map(&root.field("zones"), findings),
        listen: address_map(&root.field("listen"), findings),
        internal_ports,
        seeds: address_list(&root.field("seeds"), findings),
        bootstrap: root.field("bootstrap").bool_or(false, findings),
        data_dir: root
            .field("data_dir")
            .optional_string(findings)
            .map(PathBuf::from),
        tolerated_failures: tolerated_failures(&root.field("fault_tolerance"), findings),
        heartbeat_ms: root.field("heartbeat_ms").integer_or(1_200, findings),
        memory_bytes: mebibytes_to_bytes(limits.field("memory_mb").integer_or(256, findings)),
        max_fds: usize::try_from(limits.field("max_fds").integer_or(1_024, findings))
            .unwrap_or(usize::MAX),
        history_period: Duration::from_millis(seconds_to_ms(
            &root.field("bounds").field("history_s"),
            20.0,
            findings,
        )),
        grace_period: Duration::from_millis(seconds_to_ms(
            &root.field("bounds").field("grace_s"),
            8.0,
            findings,
        )),
        bounds: routing_limits(&root.field("bounds"), findings),
    };
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(std::mem::take(findings))
    }
}

fn routing_limits(bounds: &FieldReader<'_>, findings: &mut Findings) -> RoutingLimits {
    RoutingLimits {
        retry_budget_ratio: bounds.field("retry_budget_ratio").number_or(0.2, findings),
        retry_budget_window_ms: seconds_to_ms(&bounds.field("budget_window_s"), 10.0, findings),
        retry_budget_slack: bounds.field("budget_slack").number_or(0.0, findings),
        warmup_factor: bounds.field("cold_over").number_or(1.0, findings),
        warmup_slack: bounds.field("cold_slack").number_or(0.0, findings),
    }
}

/// Reads a field in seconds and converts it to milliseconds.
fn seconds_to_ms(seconds: &FieldReader<'_>, default_seconds: f64, findings: &mut Findings) -> u64 {
    (seconds.number_or(default_seconds, findings) * 1e3) as u64
}

fn mebibytes_to_bytes(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX >> 20) << 20
}

fn tolerated_failures(fault_tolerance: &FieldReader<'_>, findings: &mut Findings) -> usize {
    let machines = fault_tolerance.field("machines").integer_or(1, findings);
    usize::try_from(machines).unwrap_or(1)
}

fn port_range(reader: &FieldReader<'_>, findings: &mut Findings) -> PortRange {
    let ports: Vec<u16> = reader
        .items(findings)
        .iter()
        .map(|item| port(item, findings))
        .collect();
    if ports.len() != 2 && findings.is_empty() {
        findings.add("ephemeral_ports", "must hold the first and the last port");
    }
    PortRange {
        first: ports.first().copied().unwrap_or_default(),
        last: ports.last().copied().unwrap_or_default(),
    }
}

fn port(reader: &FieldReader<'_>, findings: &mut Findings) -> u16 {
    let number = reader.integer(findings);
    u16::try_from(number).unwrap_or_else(|_| {
        findings.add(reader.path(), format!("{number} is no port"));
        0
    })
}

/// Parses a value from a string field. Adds a finding and returns `None` if the field is missing or
/// invalid.
fn parse_string<T>(reader: &FieldReader<'_>, findings: &mut Findings) -> Option<T>
where
    T: FromStr<Err: Display>,
{
    let text = reader.string(findings);
    if text.is_empty() {
        return None;
    }
    text.parse()
        .map_err(|error| findings.add(reader.path(), format!("{text:?}: {error}")))
        .ok()
}

fn address_list(reader: &FieldReader<'_>, findings: &mut Findings) -> Vec<SocketAddr> {
    reader
        .items(findings)
        .iter()
        .filter_map(|item| parse_string(item, findings))
        .collect()
}

fn string_map(reader: &FieldReader<'_>, findings: &mut Findings) -> BTreeMap<String, String> {
    fields(reader, findings)
        .into_iter()
        .map(|(name, field)| (name.clone(), field.string(findings)))
        .collect()
}

fn address_map(reader: &FieldReader<'_>, findings: &mut Findings) -> BTreeMap<String, SocketAddr> {
    fields(reader, findings)
        .into_iter()
        .filter_map(|(name, field)| Some((name.clone(), parse_string(&field, findings)?)))
        .collect()
}

/// Returns the names and values of all fields of an object.
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
