//! The status of all domains that is shown to operators as JSON. The field names in the JSON are
//! part of the operators' interface.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The status of one domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// `zone NAME`, `region NAME`, `nodo NAME`, or a class at a zone.
    pub name: String,
    /// The operators' name of the phase, see [`Phase::as_str`](crate::Phase::as_str).
    #[serde(rename = "state")]
    pub phase: String,
    /// The version of the decision, see [`DomainState::epoch`](crate::DomainState::epoch).
    pub epoch: u32,
    /// The time that the domain has been in its phase, in seconds; 0 if it has kept its initial
    /// phase.
    #[serde(rename = "for_s")]
    pub phase_duration_s: f64,
    /// The share of its usual new work that the domain gets by orders and by the fleet's decision,
    /// from 0 to 1, apart from trials.
    pub share: f64,
    /// The operator's order and the observed failures that the decision is based on, as text.
    #[serde(rename = "why")]
    pub reason: String,
    /// The number of members whose counts are evidence against the domain.
    #[serde(rename = "against")]
    pub reporters_against: usize,
    /// The number of members whose counts are evidence that the domain is healthy.
    #[serde(rename = "for_it")]
    pub reporters_in_favor: usize,
    /// How often the domain failed again while it was being restored, see
    /// [`DomainState::relapses`](crate::DomainState::relapses).
    pub relapses: u32,
    /// The number of servers in service in a zone; 0 for other domains.
    #[serde(rename = "nodos")]
    pub servers: usize,
    /// The action of the operator's order in effect, see
    /// [`OrderAction::as_str`](crate::OrderAction::as_str).
    pub order: Option<String>,
    /// The remaining validity of the operator's order, in seconds.
    #[serde(rename = "order_ends_s")]
    pub order_remaining_s: Option<f64>,
    /// Members of this balancer's zone that have not published a decision with the same epoch about
    /// the domain.
    #[serde(rename = "not_followed")]
    pub members_behind: Vec<String>,
}

/// The status of all domains.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// All zones and regions, and the servers and classes that are not in use.
    #[serde(rename = "places")]
    pub domains: Vec<DomainStatus>,
    /// The number of contradicting health reports, for each member that has made several of them.
    #[serde(rename = "odd")]
    pub contradicting_members: BTreeMap<String, u32>,
    /// The number of received health reports that could not be decoded.
    #[serde(rename = "unread")]
    pub malformed_reports: u64,
}
