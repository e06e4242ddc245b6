//! REFUSED: a rejected put has not taken effect and never does.

use super::observed_puts::observed_puts;
use crate::history::History;
use std::collections::BTreeMap;
use thiserror::Error;
use woadstall_coordination::command::Command;

/// A violation of the rule REFUSED: a value was observed although its put was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "key {key}: observed the value {value:.60} at revision {revision}, but its put was rejected"
)]
pub struct RefusedViolation {
    /// Key at which the value was observed.
    pub key: String,
    /// The observed value.
    pub value: String,
    /// Revision of the observed value.
    pub revision: u64,
}

/// Checks the rejected puts. A put that was sent several times counts as rejected only if every
/// attempt was rejected.
///
/// # Errors
///
/// Returns the first violation in the history.
pub fn check(history: &History) -> Result<(), RefusedViolation> {
    let mut is_rejected: BTreeMap<(&str, &str), bool> = BTreeMap::new();
    for operation in &history.operations {
        if let Some(Command::Put { key, value, .. }) = operation.command() {
            let completion = operation.completion.as_ref();
            let rejected = completion.is_some_and(|completion| completion.answer.is_rejection());
            *is_rejected.entry((key, value)).or_insert(true) &= rejected;
        }
    }
    for observed in observed_puts(history) {
        if is_rejected.get(&(observed.key, observed.value)) == Some(&true) {
            return Err(RefusedViolation {
                key: observed.key.to_owned(),
                value: observed.value.to_owned(),
                revision: observed.revision,
            });
        }
    }
    Ok(())
}
