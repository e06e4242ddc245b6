//! A read shows at least what was acknowledged before it was sent.

use crate::history::{History, Timestamp};
use std::collections::BTreeMap;
use thiserror::Error;
use woadstall_coordination::command::{Command, Query};
use woadstall_coordination::outcome::Outcome;

/// A read is older than an acknowledged put.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("key {key}: revision {revision} was read after revision {acknowledged} was acknowledged")]
pub struct StaleViolation {
    /// The key.
    pub key: String,
    /// The revision that was read, 0 if the key was not found.
    pub revision: u64,
    /// The revision that had been acknowledged.
    pub acknowledged: u64,
}

/// Checks the reads of a history.
///
/// # Errors
///
/// The first stale read that is found.
pub fn check(history: &History) -> Result<(), StaleViolation> {
    let mut acknowledged: BTreeMap<&str, Vec<(Timestamp, u64)>> = BTreeMap::new();
    for (operation, at, outcome) in history.executed() {
        if let (Some(Command::Put { key, .. }), Outcome::Put { revision }) =
            (operation.command(), outcome)
        {
            acknowledged.entry(key).or_default().push((at, *revision));
        }
    }
    for (operation, _, outcome) in history.executed() {
        let Some(Query::Get { key }) = operation.query() else {
            continue;
        };
        let revision = match outcome {
            Outcome::Value { revision, .. } => *revision,
            _ => 0,
        };
        let puts = acknowledged.get(&**key).into_iter().flatten();
        let before = puts.filter(|(at, _)| *at < operation.invoked_at);
        let newest = before.map(|(_, revision)| *revision).max();
        if let Some(acknowledged) = newest.filter(|newest| *newest > revision) {
            return Err(StaleViolation {
                key: key.clone(),
                revision,
                acknowledged,
            });
        }
    }
    Ok(())
}
