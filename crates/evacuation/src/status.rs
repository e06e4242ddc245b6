//! The status that operators are shown, as JSON. The names of its fields are part of the interface.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The status of one domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// `zone NAME`, `region NAME`, `nodo NAME`, or a class at a zone.
    pub name: String,
    /// The name of its phase.
    #[serde(rename = "state")]
    pub phase: String,
    /// Raised with each change.
    pub epoch: u32,
    /// How long it has been in its phase, in seconds.
    #[serde(rename = "for_s")]
    pub phase_duration_s: f64,
    /// The share of its usual new work that it gets, from 0 to 1, apart from trials.
    pub share: f64,
    /// What the decision rests on.
    #[serde(rename = "why")]
    pub reason: String,
    /// The reporters against it.
    #[serde(rename = "against")]
    pub reporters_against: usize,
    /// The reporters for it.
    #[serde(rename = "for_it")]
    pub reporters_in_favor: usize,
    /// How often it failed again while it was being restored.
    pub relapses: u32,
    /// A zone's servers in service.
    #[serde(rename = "nodos")]
    pub servers: usize,
    /// The operator's order that holds.
    pub order: Option<String>,
    /// The remaining validity of that order, in seconds.
    #[serde(rename = "order_ends_s")]
    pub order_remaining_s: Option<f64>,
    /// Members of this zone whose published decision has another epoch.
    #[serde(rename = "not_followed")]
    pub members_behind: Vec<String>,
}

/// The status of all domains.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Zones, regions, and everything else that is not in use.
    #[serde(rename = "places")]
    pub domains: Vec<DomainStatus>,
    /// How often members have reported the opposite of what was observed, by member.
    #[serde(rename = "odd")]
    pub contradicting_members: BTreeMap<String, u32>,
    /// Health reports that could not be decoded.
    #[serde(rename = "unread")]
    pub malformed_reports: u64,
}
