//! `woadstall instances`: asks a balancer at its second address whom it sees, and writes that for people.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use woadstall_membership_net::{MemberReport, Report};

const PATIENCE: Duration = Duration::from_secs(5);
/// Bytes of an answer at most: a row for each of a few thousand.
const MOST: usize = 8 << 20;

/// What a balancer answers, as it comes. The error is one line.
pub async fn ask(at: SocketAddr) -> Result<Bytes, String> {
    call(
        at,
        Method::GET,
        "/control/instances",
        "no `[instances]` in its operators' file",
    )
    .await
}

/// An operator's call to a balancer, and what it answers. `absent` says why there may be no such call.
pub async fn call(
    at: SocketAddr,
    method: Method,
    path: &str,
    absent: &str,
) -> Result<Bytes, String> {
    let asked = async {
        let stream = TcpStream::connect(at)
            .await
            .map_err(|error| error.to_string())?;
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = shaken.map_err(|error| error.to_string())?;
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", at.to_string());
        let request = request
            .body(Empty::<Bytes>::new())
            .map_err(|error| error.to_string())?;
        let answer = sender
            .send_request(request)
            .await
            .map_err(|error| error.to_string())?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MOST).collect().await;
        let body = body
            .map(|body| body.to_bytes())
            .map_err(|error| error.to_string())?;
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::NOT_FOUND => Err(absent.to_owned()),
            status => Err(format!(
                "answered {status}: {}",
                String::from_utf8_lossy(&body).trim()
            )),
        }
    };
    let answer = timeout(PATIENCE, asked)
        .await
        .unwrap_or_else(|_| Err("no answer in time".to_owned()));
    answer.map_err(|error| format!("{at}: {error}"))
}

/// Reads an answer.
pub fn read(answer: &[u8]) -> Result<Report, String> {
    serde_json::from_slice(answer).map_err(|error| format!("not an answer of a balancer: {error}"))
}

/// Writes it as people read it.
pub fn write(report: &Report, out: &mut impl Write) -> io::Result<()> {
    let part = |part: f64| format!("{:.0}%", part * 100.0);
    writeln!(
        out,
        "{} in zone {}, found at {}, for {}",
        report.name,
        report.zone,
        report.address,
        time(report.uptime_s)
    )?;
    let size = match report.min_size == report.max_size {
        true => report.min_size.to_string(),
        false => format!("{} to {}", report.min_size, report.max_size),
    };
    let (own, others) = (part(report.own_zone), part(report.other_zones));
    writeln!(
        out,
        "fleet of {size}; heard lately: {own} of its zone, {others} of the other zones"
    )?;
    if report.is_isolated {
        writeln!(
            out,
            "it judges nobody now: it is cut off from most others, or has just woken"
        )?;
    }
    if report.health_multiplier > 1 {
        writeln!(
            out,
            "it does badly itself, and judges {} times as slowly",
            report.health_multiplier
        )?;
    }
    let rejections = report.rejections;
    writeln!(
        out,
        "{} messages came, {} went ({} kB), {} facts, stood still {} times",
        report.messages_received,
        report.messages_sent,
        report.bytes_sent / 1_000,
        report.records,
        report.process_pauses
    )?;
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
    )?;
    members(&report.members, out)?;
    matrix(report, out)
}

fn members(rows: &[MemberReport], out: &mut impl Write) -> io::Result<()> {
    let longest = |of: fn(&MemberReport) -> &str| {
        rows.iter()
            .map(|row| of(row).len())
            .max()
            .unwrap_or(0)
            .max(4)
    };
    let (name, zone) = (longest(|row| &row.name), longest(|row| &row.zone));
    writeln!(
        out,
        "\n{:name$}  {:zone$}  state    for      found    to       from     at",
        "name", "zone"
    )?;
    for row in rows {
        let found = row.last_reached_s.map_or("never".to_owned(), time);
        write!(
            out,
            "{:name$}  {:zone$}  {:7}  {:7}  {found:7}  {:7}  {:7}  {}",
            row.name,
            row.zone,
            row.state,
            time(row.state_age_s),
            row.outbound,
            row.inbound,
            row.address
        )?;
        if !row.suspected_by.is_empty() {
            write!(out, "  suspected by {}", row.suspected_by.join(", "))?;
        }
        writeln!(out)?;
    }
    Ok(())
}

/// Cut ways by zone and zone, where there are any.
fn matrix(report: &Report, out: &mut impl Write) -> io::Result<()> {
    if report.zone_paths.iter().all(|paths| paths.partitioned == 0) {
        return writeln!(out, "\nno way between balancers is told to be cut");
    }
    let zones: BTreeSet<&str> = report
        .zone_paths
        .iter()
        .flat_map(|paths| [&*paths.from, &*paths.to])
        .collect();
    let wide = zones
        .iter()
        .map(|zone| zone.len())
        .max()
        .unwrap_or(0)
        .max(9);
    write!(
        out,
        "\ncut ways, of so many, from the zones on the left to those above\n{:wide$}",
        ""
    )?;
    zones
        .iter()
        .try_for_each(|to| write!(out, "  {to:>wide$}"))?;
    writeln!(out)?;
    for from in &zones {
        write!(out, "{from:wide$}")?;
        for to in &zones {
            let paths = report
                .zone_paths
                .iter()
                .find(|paths| paths.from == *from && paths.to == *to);
            let cell = paths.map_or("-".to_owned(), |paths| {
                format!("{}/{}", paths.partitioned, paths.total)
            });
            write!(out, "  {cell:>wide$}")?;
        }
        writeln!(out)?;
    }
    Ok(())
}

fn time(seconds: f64) -> String {
    match seconds {
        ..120.0 => format!("{seconds:.1} s"),
        ..7_200.0 => format!("{:.0} min", seconds / 60.0),
        _ => format!("{:.0} h", seconds / 3_600.0),
    }
}
