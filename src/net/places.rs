//! `woadstall zone`, `region` and `nodo`: an operator's word to a balancer at its second address, and how places stand.

use super::members::call;
use hyper::Method;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;
use woadstall_evacuation::{DomainStatus, OrderAction, Status};

const PATH: &str = "/control/places";
const ABSENT: &str = "no `[evacuation]` in its operators' file";

/// Gives a word.
pub async fn give(
    at: SocketAddr,
    what: OrderAction,
    kind: &str,
    name: &str,
    holds: Duration,
) -> Result<(), String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
    if name.is_empty() || !name.chars().all(plain) {
        return Err(format!("{name:?} is no name of a {kind}"));
    }
    let path = format!("{PATH}/{}/{kind}/{name}/{}", what.as_str(), holds.as_secs());
    call(at, Method::POST, &path, ABSENT).await.map(drop)
}

/// How all places stand, as a balancer sees it.
pub async fn status(at: SocketAddr) -> Result<Status, String> {
    let answer = call(at, Method::GET, PATH, ABSENT).await?;
    serde_json::from_slice(&answer).map_err(|error| format!("not an answer of a balancer: {error}"))
}

/// Writes it as people read it: all, or the places of one name.
pub fn write(
    status: &Status,
    kind: &str,
    name: Option<&str>,
    out: &mut impl Write,
) -> io::Result<()> {
    let wanted = |place: &&DomainStatus| match name {
        Some(name) => place.name == format!("{kind} {name}"),
        None => place.name.starts_with(kind),
    };
    let places: Vec<&DomainStatus> = status.places.iter().filter(wanted).collect();
    if places.is_empty() {
        return writeln!(
            out,
            "nothing is found of any {kind}{}",
            name.map(|n| format!(" {n}")).unwrap_or_default()
        );
    }
    for place in places {
        let (state, epoch, share) = (&place.phase, place.epoch, place.share * 100.0);
        write!(
            out,
            "{}: {state}, epoch {epoch}, share {share:.0}%",
            place.name
        )?;
        if place.phase_for_s > 0.0 {
            write!(out, ", for {:.1} s", place.phase_for_s)?;
        }
        if place.servers > 0 {
            write!(out, ", {} nodos in service", place.servers)?;
        }
        writeln!(out)?;
        writeln!(
            out,
            "  why: {}; {} against it, {} for it",
            place.reason, place.reporters_against, place.reporters_in_favor
        )?;
        if let (Some(order), Some(ends)) = (&place.order, place.order_remaining_s) {
            writeln!(out, "  an operator's word: {order}, for {ends:.0} s more")?;
        }
        if place.relapses > 0 {
            writeln!(
                out,
                "  failed again {} times while it was returned to",
                place.relapses
            )?;
        }
        if !place.members_behind.is_empty() {
            writeln!(
                out,
                "  at another epoch: {}",
                place.members_behind.join(", ")
            )?;
        }
    }
    if !status.contradicting_members.is_empty() {
        let odd: Vec<String> = status
            .contradicting_members
            .iter()
            .map(|(name, times)| format!("{name} ({times})"))
            .collect();
        writeln!(
            out,
            "said the opposite of what was found: {}",
            odd.join(", ")
        )?;
    }
    Ok(())
}
