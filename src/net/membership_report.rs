//! Text output of `woadstall instances`: one load balancer's view of the membership.

use super::admin_client::{CallError, call};
use bytes::Bytes;
use hyper::Method;
use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::SocketAddr;
use woadstall_membership_net::{MemberReport, Report, ZonePathReport};

const PATH: &str = "/control/instances";
/// The reason reported if a load balancer does not provide the call.
const ABSENT: &str = "no `[instances]` in its operators' file";
/// Minimum width of a name column.
const MIN_NAME_WIDTH: usize = 4;
/// Minimum width of a column of the partition matrix.
const MIN_CELL_WIDTH: usize = 9;

/// The error of a response that is not a valid report.
#[derive(Debug, thiserror::Error)]
#[error("not an answer of a balancer: {0}")]
pub struct InvalidReport(#[from] serde_json::Error);

/// Fetches the report of the load balancer at an admin address, as JSON.
///
/// # Errors
///
/// Fails if the load balancer does not respond or has no membership configured.
pub async fn fetch(address: SocketAddr) -> Result<Bytes, CallError> {
    call(address, Method::GET, PATH, ABSENT).await
}

/// Parses a report.
///
/// # Errors
///
/// Fails if the text is not a valid report.
pub fn read(json: &[u8]) -> Result<Report, InvalidReport> {
    Ok(serde_json::from_slice(json)?)
}

/// Writes a report as text.
///
/// # Errors
///
/// Fails if writing to `out` fails.
pub fn write(report: &Report, out: &mut impl Write) -> io::Result<()> {
    write_summary(report, out)?;
    write_counters(report, out)?;
    write_members(&report.members, out)?;
    write_partitions(&report.zone_paths, out)
}

fn write_summary(report: &Report, out: &mut impl Write) -> io::Result<()> {
    let (name, zone, address) = (&report.name, &report.zone, report.address);
    let uptime = duration(report.uptime_s);
    writeln!(
        out,
        "{name} in zone {zone}, found at {address}, for {uptime}"
    )?;
    let fleet_size = match report.min_size == report.max_size {
        true => report.min_size.to_string(),
        false => format!("{} to {}", report.min_size, report.max_size),
    };
    let (own, others) = (percent(report.own_zone), percent(report.other_zones));
    writeln!(
        out,
        "fleet of {fleet_size}; heard lately: {own} of its zone, {others} of the other zones"
    )?;
    if report.is_isolated {
        let text = "it judges nobody now: it is cut off from most others, or has just woken";
        writeln!(out, "{text}")?;
    }
    let multiplier = report.health_multiplier;
    if multiplier > 1 {
        writeln!(
            out,
            "it does badly itself, and judges {multiplier} times as slowly"
        )?;
    }
    Ok(())
}

fn write_counters(report: &Report, out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "{} messages came, {} went ({} kB), {} facts, stood still {} times",
        report.messages_received,
        report.messages_sent,
        report.bytes_sent / 1_000,
        report.records,
        report.process_pauses
    )?;
    let rejections = report.rejections;
    writeln!(
        out,
        "not believed: {} other keys, {} other versions, {} had before, {} no message; \
         not sent {}, turned away {}, held back {}",
        rejections.other_key,
        rejections.other_version,
        rejections.replayed,
        rejections.malformed,
        rejections.not_sent,
        rejections.streams_rejected,
        rejections.hung_steps
    )
}

fn write_members(members: &[MemberReport], out: &mut impl Write) -> io::Result<()> {
    let width = |field: fn(&MemberReport) -> &str| {
        let longest = members.iter().map(|member| field(member).len()).max();
        longest.unwrap_or(0).max(MIN_NAME_WIDTH)
    };
    let name_width = width(|member| &member.name);
    let zone_width = width(|member| &member.zone);
    writeln!(
        out,
        "\n{:name_width$}  {:zone_width$}  state    for      found    to       from     at",
        "name", "zone"
    )?;
    for member in members {
        let last_reached = member.last_reached_s.map_or("never".to_owned(), duration);
        write!(
            out,
            "{:name_width$}  {:zone_width$}  {:7}  {:7}  {last_reached:7}  {:7}  {:7}  {}",
            member.name,
            member.zone,
            member.state,
            duration(member.state_age_s),
            member.outbound,
            member.inbound,
            member.address
        )?;
        if !member.suspected_by.is_empty() {
            write!(out, "  suspected by {}", member.suspected_by.join(", "))?;
        }
        writeln!(out)?;
    }
    Ok(())
}

/// Writes a matrix of partitioned paths between zones, or a single line if no path is partitioned.
fn write_partitions(paths: &[ZonePathReport], out: &mut impl Write) -> io::Result<()> {
    if paths.iter().all(|paths| paths.partitioned == 0) {
        return writeln!(out, "\nno way between balancers is told to be cut");
    }
    let zones: BTreeSet<&str> = paths
        .iter()
        .flat_map(|paths| [&*paths.from, &*paths.to])
        .collect();
    let longest = zones.iter().map(|zone| zone.len()).max();
    let width = longest.unwrap_or(0).max(MIN_CELL_WIDTH);
    writeln!(
        out,
        "\ncut ways, of so many, from the zones on the left to those above"
    )?;
    write!(out, "{:width$}", "")?;
    for to in &zones {
        write!(out, "  {to:>width$}")?;
    }
    writeln!(out)?;
    for from in &zones {
        write!(out, "{from:width$}")?;
        for to in &zones {
            let zone_path = paths
                .iter()
                .find(|paths| paths.from == *from && paths.to == *to);
            let cell = zone_path.map_or("-".to_owned(), |paths| {
                format!("{}/{}", paths.partitioned, paths.total)
            });
            write!(out, "  {cell:>width$}")?;
        }
        writeln!(out)?;
    }
    Ok(())
}

/// Formats a ratio as a percentage without decimals.
fn percent(ratio: f64) -> String {
    format!("{:.0}%", ratio * 100.0)
}

/// Formats a duration in seconds, minutes or hours, depending on its length.
fn duration(seconds: f64) -> String {
    match seconds {
        ..120.0 => format!("{seconds:.1} s"),
        ..7_200.0 => format!("{:.0} min", seconds / 60.0),
        _ => format!("{:.0} h", seconds / 3_600.0),
    }
}
