//! MIXED: a value is observed only at the key that it was put to, and at one revision.

use super::observed_puts::{keys_by_revision, observed_puts};
use crate::history::{History, Operation};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;
use woadstall_coordination::command::{Command, group_of};
use woadstall_coordination::outcome::Outcome;

/// A violation of the rule MIXED.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MixedViolation {
    /// A client observed a value that no client had put to the key.
    #[error("key {key}: observed the value {value:.60}, which no client put")]
    UnknownValue {
        /// Key at which the value was observed.
        key: String,
        /// The observed value.
        value: String,
    },
    /// Clients observed one value at two revisions.
    #[error("key {key}: observed the value {value:.60} at revisions {first} and {second}")]
    TwoRevisions {
        /// Key at which the value was observed.
        key: String,
        /// The value. A client resends a put, but uses its value for no other put.
        value: String,
        /// Revision of the first observation.
        first: u64,
        /// Revision of a later observation.
        second: u64,
    },
    /// A revision conflict reports a revision that the key never had.
    #[error("key {key}: a conflict reports revision {revision}, which no put of the key created")]
    UnknownRevision {
        /// Key of the conditional put.
        key: String,
        /// Current revision according to the conflict.
        revision: u64,
    },
}

/// Checks the observed values and the revision conflicts.
///
/// # Errors
///
/// Returns the first violation in the history.
pub fn check(history: &History) -> Result<(), MixedViolation> {
    check_values(history)?;
    check_conflicts(history)
}

fn check_values(history: &History) -> Result<(), MixedViolation> {
    let commands = history.operations.iter().filter_map(Operation::command);
    let sent_puts: BTreeSet<(&str, &str)> = commands
        .filter_map(|command| match command {
            Command::Put { key, value, .. } => Some((&**key, &**value)),
            _ => None,
        })
        .collect();
    let mut revisions: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for observed in observed_puts(history) {
        let put = (observed.key, observed.value);
        let (key, value) = (observed.key.to_owned(), observed.value.to_owned());
        if !sent_puts.contains(&put) {
            return Err(MixedViolation::UnknownValue { key, value });
        }
        let first = *revisions.entry(put).or_insert(observed.revision);
        if first != observed.revision {
            return Err(MixedViolation::TwoRevisions {
                key,
                value,
                first,
                second: observed.revision,
            });
        }
    }
    Ok(())
}

fn check_conflicts(history: &History) -> Result<(), MixedViolation> {
    let groups = keys_by_revision(&observed_puts(history));
    let indeterminate_keys = keys_with_indeterminate_puts(history);
    for (operation, _, outcome) in history.executed() {
        let (Some(Command::Put { key, .. }), Outcome::RevisionConflict { current }) =
            (operation.command(), outcome)
        else {
            continue;
        };
        let group = groups.get(group_of(key));
        let changed_key = group.and_then(|revisions| revisions.get(current)).copied();
        let is_possible = match changed_key {
            Some(changed_key) => changed_key == key,
            // A put with an indeterminate answer may have created the revision.
            None => *current == 0 || indeterminate_keys.contains(&**key),
        };
        if !is_possible {
            return Err(MixedViolation::UnknownRevision {
                key: key.clone(),
                revision: *current,
            });
        }
    }
    Ok(())
}

/// Keys with puts whose answers leave open whether they took effect.
fn keys_with_indeterminate_puts(history: &History) -> BTreeSet<&str> {
    let is_indeterminate = |operation: &&Operation| {
        let answer = operation
            .completion
            .as_ref()
            .map(|completion| &completion.answer);
        answer.is_none_or(|answer| answer.outcome().is_none() && !answer.is_rejection())
    };
    let indeterminate = history.operations.iter().filter(is_indeterminate);
    let keys = indeterminate.filter_map(|operation| match operation.command() {
        Some(Command::Put { key, .. }) => Some(&**key),
        _ => None,
    });
    keys.collect()
}
