//! The puts that a history shows to have taken effect.

use crate::history::{History, Moment};
use std::collections::BTreeMap;
use woadstall_coordination::command::{Command, Query, group_of};
use woadstall_coordination::machine::Response;
use woadstall_coordination::outcome::Outcome;

/// A value with its revision, as a client was told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Sighting<'a> {
    pub key: &'a str,
    pub value: &'a str,
    pub revision: u64,
    /// When the client was told.
    pub at: Moment,
}

/// All that clients were told by acknowledged puts, reads and watches.
pub(super) fn sightings(history: &History) -> Vec<Sighting<'_>> {
    let mut sightings = Vec::new();
    for operation in &history.operations {
        let Some(answered) = &operation.answered else {
            continue;
        };
        let at = answered.at;
        match operation.response() {
            Some(Response::Executed(Outcome::Put { revision })) => {
                if let Some(Command::Put { key, value, .. }) = operation.command() {
                    let revision = *revision;
                    sightings.push(Sighting {
                        key,
                        value,
                        revision,
                        at,
                    });
                }
            }
            Some(Response::Executed(Outcome::Value { value, revision })) => {
                if let Some(Query::Get { key }) = operation.query() {
                    let revision = *revision;
                    sightings.push(Sighting {
                        key,
                        value,
                        revision,
                        at,
                    });
                }
            }
            Some(Response::Events(found)) => {
                sightings.extend(found.events.iter().map(|event| Sighting {
                    key: &event.key,
                    value: &event.value,
                    revision: event.revision,
                    at,
                }));
            }
            _ => {}
        }
    }
    sightings
}

/// The keys that were put, by group and revision.
pub(super) fn keys_by_revision<'a>(
    sightings: &[Sighting<'a>],
) -> BTreeMap<&'a str, BTreeMap<u64, &'a str>> {
    let mut groups: BTreeMap<&str, BTreeMap<u64, &str>> = BTreeMap::new();
    for sighting in sightings {
        let group = groups.entry(group_of(sighting.key)).or_default();
        group.insert(sighting.revision, sighting.key);
    }
    groups
}
