//! Puts that took effect, according to the answers in a history.

use crate::history::{History, Timestamp};
use std::collections::BTreeMap;
use woadstall_coordination::command::{Command, Query, group_of};
use woadstall_coordination::machine::Response;
use woadstall_coordination::outcome::Outcome;

/// A value and its revision, as a client received them in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ObservedPut<'a> {
    pub key: &'a str,
    pub value: &'a str,
    pub revision: u64,
    /// When the client received the answer.
    pub observed_at: Timestamp,
}

/// All values and revisions that clients received from acknowledged puts, reads and watches.
pub(super) fn observed_puts(history: &History) -> Vec<ObservedPut<'_>> {
    let mut observed_puts = Vec::new();
    for operation in &history.operations {
        let Some(completion) = &operation.completion else {
            continue;
        };
        let observed_at = completion.completed_at;
        match operation.response() {
            Some(Response::Executed(Outcome::Put { revision })) => {
                if let Some(Command::Put { key, value, .. }) = operation.command() {
                    let revision = *revision;
                    observed_puts.push(ObservedPut {
                        key,
                        value,
                        revision,
                        observed_at,
                    });
                }
            }
            Some(Response::Executed(Outcome::Value { value, revision })) => {
                if let Some(Query::Get { key }) = operation.query() {
                    let revision = *revision;
                    observed_puts.push(ObservedPut {
                        key,
                        value,
                        revision,
                        observed_at,
                    });
                }
            }
            Some(Response::Events(returned)) => {
                observed_puts.extend(returned.events.iter().map(|event| ObservedPut {
                    key: &event.key,
                    value: &event.value,
                    revision: event.revision,
                    observed_at,
                }));
            }
            _ => {}
        }
    }
    observed_puts
}

/// The changed keys, by group and by the revision of the change.
pub(super) fn keys_by_revision<'a>(
    observed_puts: &[ObservedPut<'a>],
) -> BTreeMap<&'a str, BTreeMap<u64, &'a str>> {
    let mut groups: BTreeMap<&str, BTreeMap<u64, &str>> = BTreeMap::new();
    for observed in observed_puts {
        let group = groups.entry(group_of(observed.key)).or_default();
        group.insert(observed.revision, observed.key);
    }
    groups
}
