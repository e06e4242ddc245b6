//! Operators' orders on failure domains, sent to a load balancer's admin address as `WHAT/KIND/NAME/SECONDS`.

use super::admin_client::{CallError, call};
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;
use woadstall_evacuation::OrderAction;
use woadstall_health_reports::SubjectKind;

/// Path of calls on failure domains.
pub(super) const DOMAINS_PATH: &str = "/control/places";
/// The reason reported if a load balancer does not provide these calls.
pub(super) const ABSENT: &str = "no `[evacuation]` in its operators' file";

const ACTIONS: [OrderAction; 3] = [
    OrderAction::Evacuate,
    OrderAction::Keep,
    OrderAction::Restore,
];
const KINDS: [SubjectKind; 3] = [SubjectKind::Zone, SubjectKind::Region, SubjectKind::Server];

/// An order in the form that operators send.
pub(super) struct DomainOrder<'a> {
    pub action: OrderAction,
    pub kind: SubjectKind,
    pub name: &'a str,
    pub duration: Duration,
}

/// Returns the name of a kind of failure domain in commands, paths and logs.
pub fn kind_name(kind: SubjectKind) -> &'static str {
    match kind {
        SubjectKind::Server => "nodo",
        SubjectKind::Zone => "zone",
        SubjectKind::Class => "class",
        SubjectKind::Region => "region",
    }
}

impl<'a> DomainOrder<'a> {
    /// Parses the part of a path after [`DOMAINS_PATH`]; `None` if that part is not a valid order.
    pub fn parse(path: &'a str) -> Option<Self> {
        let mut segments = path.split('/');
        let (action, kind, name) = (segments.next()?, segments.next()?, segments.next()?);
        let seconds = segments.next()?;
        let action = ACTIONS.into_iter().find(|known| known.as_str() == action)?;
        let kind = KINDS.into_iter().find(|known| kind_name(*known) == kind)?;
        let seconds = seconds.parse().ok().filter(|seconds| *seconds > 0)?;
        if segments.next().is_some() {
            return None;
        }
        Some(Self {
            action,
            kind,
            name,
            duration: Duration::from_secs(seconds),
        })
    }
}

/// The error of an order that was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// The name contains characters that no failure domain's name may contain, or is empty.
    #[error("{name:?} is no name of a {kind}")]
    InvalidName {
        /// The rejected name.
        name: String,
        /// Kind of the failure domain.
        kind: String,
    },
    /// The load balancer could not be called, or rejected the order.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Sends an order to the load balancer at an admin address.
///
/// # Errors
///
/// Fails if the name is invalid, or if the load balancer does not respond or rejects the order.
pub async fn send(
    address: SocketAddr,
    action: OrderAction,
    kind: &str,
    name: &str,
    duration: Duration,
) -> Result<(), OrderError> {
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "._:-".contains(letter);
    if name.is_empty() || !name.chars().all(is_allowed) {
        let (name, kind) = (name.to_owned(), kind.to_owned());
        return Err(OrderError::InvalidName { name, kind });
    }
    let (action, seconds) = (action.as_str(), duration.as_secs());
    let path = format!("{DOMAINS_PATH}/{action}/{kind}/{name}/{seconds}");
    call(address, Method::POST, &path, ABSENT).await?;
    Ok(())
}
