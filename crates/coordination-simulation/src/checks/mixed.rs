//! Values show up only at the key to which they were put, each at one revision.

use super::observed_puts::{keys_by_revision, observed_puts};
use crate::history::{History, Operation};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;
use woadstall_coordination::command::{Command, group_of};
use woadstall_coordination::outcome::Outcome;

/// How values or revisions are mixed up.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MixedViolation {
    /// Nobody put this value to this key.
    #[error("key {key}: nobody put the value {value:.60}")]
    UnknownValue {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// A value has two revisions.
    #[error("key {key}: the value {value:.60} has the revisions {first} and {second}")]
    TwoRevisions {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// A revision.
        first: u64,
        /// Another revision.
        second: u64,
    },
    /// A conflict names a revision that the key never had.
    #[error("key {key}: a conflict names revision {revision}, which no put gave it")]
    UnknownRevision {
        /// The key.
        key: String,
        /// The revision.
        revision: u64,
    },
}

/// Checks the values and the conflicts of a history.
///
/// # Errors
///
/// The first violation that is found.
pub fn check(history: &History) -> Result<(), MixedViolation> {
    check_values(history)?;
    check_conflicts(history)
}

fn check_values(history: &History) -> Result<(), MixedViolation> {
    let commands = history.operations.iter().filter_map(Operation::command);
    let sent: BTreeSet<(&str, &str)> = commands
        .filter_map(|command| match command {
            Command::Put { key, value, .. } => Some((&**key, &**value)),
            _ => None,
        })
        .collect();
    let mut revisions: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for observed in observed_puts(history) {
        let put = (observed.key, observed.value);
        let (key, value) = (observed.key.to_owned(), observed.value.to_owned());
        if !sent.contains(&put) {
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
    let unclear: BTreeSet<&str> = keys_with_unclear_puts(history);
    for (operation, _, outcome) in history.executed() {
        let (Some(Command::Put { key, .. }), Outcome::RevisionConflict { current }) =
            (operation.command(), outcome)
        else {
            continue;
        };
        let group = groups.get(group_of(key));
        let owner = group.and_then(|revisions| revisions.get(current)).copied();
        let is_possible = match owner {
            Some(owner) => owner == key,
            // A put that nobody was told of may have given it.
            None => *current == 0 || unclear.contains(&**key),
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

/// The keys with puts that may or may not have taken effect.
fn keys_with_unclear_puts(history: &History) -> BTreeSet<&str> {
    let is_unclear = |operation: &&Operation| {
        let answer = operation
            .completion
            .as_ref()
            .map(|completion| &completion.answer);
        answer.is_none_or(|answer| answer.outcome().is_none() && !answer.is_rejection())
    };
    let unclear = history.operations.iter().filter(is_unclear);
    let keys = unclear.filter_map(|operation| match operation.command() {
        Some(Command::Put { key, .. }) => Some(&**key),
        _ => None,
    });
    keys.collect()
}
