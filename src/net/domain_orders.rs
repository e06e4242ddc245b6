//! Orders of operators on failure domains, as they are sent to a balancer's admin address:
//! `WHAT/KIND/NAME/SECONDS`.

use super::admin_client::{CallError, call};
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;
use woadstall_evacuation::OrderAction;
use woadstall_health_reports::SubjectKind;

/// Path of the calls on failure domains.
pub(super) const DOMAINS_PATH: &str = "/control/places";
/// Why a balancer may not have these calls.
pub(super) const ABSENT: &str = "no `[evacuation]` in its operators' file";

const ACTIONS: [OrderAction; 3] = [
    OrderAction::Evacuate,
    OrderAction::Keep,
    OrderAction::Restore,
];
const KINDS: [SubjectKind; 3] = [SubjectKind::Zone, SubjectKind::Region, SubjectKind::Server];

/// An order as operators send it.
pub(super) struct DomainOrder<'a> {
    pub action: OrderAction,
    pub kind: SubjectKind,
    pub name: &'a str,
    pub duration: Duration,
}

/// What a kind of failure domain is called.
pub fn kind_name(kind: SubjectKind) -> &'static str {
    match kind {
        SubjectKind::Server => "nodo",
        SubjectKind::Zone => "zone",
        SubjectKind::Class => "class",
        SubjectKind::Region => "region",
    }
}

impl<'a> DomainOrder<'a> {
    /// Reads what follows [`DOMAINS_PATH`] in a call; `None` if that is no order.
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

/// Why an order was not taken.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// No failure domain can have this name.
    #[error("{name:?} is no name of a {kind}")]
    InvalidName {
        /// The name.
        name: String,
        /// The kind of the failure domain.
        kind: String,
    },
    /// The balancer could not be called, or rejects the order.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Sends an order to the balancer at an admin address.
///
/// # Errors
///
/// Fails if the name is none, and if the balancer does not respond or rejects the order.
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
