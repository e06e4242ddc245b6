//! What operators are shown.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One place.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlaceStatus {
    /// `zone NAME`, `region NAME`, `nodo NAME`, or a class at a zone.
    pub name: String,
    /// Its state, in a word.
    pub state: String,
    /// Raised with each change.
    pub epoch: u32,
    /// For how long it has the state, in seconds.
    pub for_s: f64,
    /// Part of its new work that it gets, apart from trials.
    pub share: f64,
    /// What that rests on.
    pub why: String,
    /// Witnesses against it.
    pub against: usize,
    /// And for it.
    pub for_it: usize,
    /// How often it failed again while it was returned to.
    pub relapses: u32,
    /// Its nodos in service, of a zone.
    pub nodos: usize,
    /// An operator's word that holds.
    pub order: Option<String>,
    /// How long it still holds, in seconds.
    pub order_ends_s: Option<f64>,
    /// Members of this zone that have told another epoch.
    pub not_followed: Vec<String>,
}

/// All places.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Zones, regions, and what else is not in use.
    pub places: Vec<PlaceStatus>,
    /// Members whose word was the opposite of what was found, and how often.
    pub odd: BTreeMap<String, u32>,
    /// Health reports that could not be read.
    pub unread: u64,
}
