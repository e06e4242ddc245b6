//! Text output of `woadstall zone status`, `region status` and `nodo status`.

use super::admin_client::{CallError, call};
use super::domain_orders::{ABSENT, DOMAINS_PATH};
use hyper::Method;
use std::io::{self, Write};
use std::net::SocketAddr;
use woadstall_evacuation::{DomainStatus, Status};

/// The error of a failed status query.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The load balancer could not be called.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The response is not a valid status.
    #[error("not an answer of a balancer: {0}")]
    Invalid(#[from] serde_json::Error),
}

/// Fetches the status of all failure domains from the load balancer at an admin address.
///
/// # Errors
///
/// Fails if the load balancer does not respond, has no evacuation configured, or returns an invalid status.
pub async fn fetch(address: SocketAddr) -> Result<Status, StatusError> {
    let json = call(address, Method::GET, DOMAINS_PATH, ABSENT).await?;
    Ok(serde_json::from_slice(&json)?)
}

/// Writes the status of failure domains as text: of the domain `name`, or of all domains of the kind if `name` is
/// `None`.
///
/// # Errors
///
/// Fails if writing to `out` fails.
pub fn write(
    status: &Status,
    kind: &str,
    name: Option<&str>,
    out: &mut impl Write,
) -> io::Result<()> {
    let is_wanted = |domain: &&DomainStatus| match name {
        Some(name) => domain.name == format!("{kind} {name}"),
        None => domain.name.starts_with(kind),
    };
    let domains: Vec<&DomainStatus> = status.domains.iter().filter(is_wanted).collect();
    if domains.is_empty() {
        let name = name.map(|name| format!(" {name}")).unwrap_or_default();
        return writeln!(out, "nothing is found of any {kind}{name}");
    }
    for domain in domains {
        write_domain(domain, out)?;
    }
    if status.contradicting_members.is_empty() {
        return Ok(());
    }
    let members = status.contradicting_members.iter();
    let members: Vec<String> = members
        .map(|(name, count)| format!("{name} ({count})"))
        .collect();
    writeln!(
        out,
        "said the opposite of what was found: {}",
        members.join(", ")
    )
}

fn write_domain(domain: &DomainStatus, out: &mut impl Write) -> io::Result<()> {
    let (name, phase, epoch) = (&domain.name, &domain.phase, domain.epoch);
    write!(
        out,
        "{name}: {phase}, epoch {epoch}, share {:.0}%",
        domain.share * 100.0
    )?;
    if domain.phase_duration_s > 0.0 {
        write!(out, ", for {:.1} s", domain.phase_duration_s)?;
    }
    if domain.servers > 0 {
        write!(out, ", {} nodos in service", domain.servers)?;
    }
    writeln!(out)?;
    let (against, in_favor) = (domain.reporters_against, domain.reporters_in_favor);
    writeln!(
        out,
        "  why: {}; {against} against it, {in_favor} for it",
        domain.reason
    )?;
    if let (Some(order), Some(remaining)) = (&domain.order, domain.order_remaining_s) {
        writeln!(
            out,
            "  an operator's word: {order}, for {remaining:.0} s more"
        )?;
    }
    if domain.relapses > 0 {
        writeln!(
            out,
            "  failed again {} times while it was returned to",
            domain.relapses
        )?;
    }
    if !domain.members_behind.is_empty() {
        writeln!(
            out,
            "  at another epoch: {}",
            domain.members_behind.join(", ")
        )?;
    }
    Ok(())
}
