//! STALE: a read reflects every put of the key that was acknowledged before the read was sent.

use crate::history::{History, Timestamp};
use std::collections::BTreeMap;
use thiserror::Error;
use woadstall_coordination::command::{Command, Query};
use woadstall_coordination::outcome::Outcome;

/// A violation of the rule STALE: a read returned a state older than an acknowledged put.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "key {key}: read returned revision {revision} after revision {acknowledged} was acknowledged"
)]
pub struct StaleViolation {
    /// Key that was read.
    pub key: String,
    /// Revision that the read returned; 0 if the key was not found.
    pub revision: u64,
    /// Greatest revision of the key that was acknowledged before the read was sent.
    pub acknowledged: u64,
}

/// Checks the reads.
///
/// # Errors
///
/// Returns the first stale read in the history.
pub fn check(history: &History) -> Result<(), StaleViolation> {
    let mut acknowledged: BTreeMap<&str, Vec<(Timestamp, u64)>> = BTreeMap::new();
    for (operation, completed_at, outcome) in history.executed() {
        if let (Some(Command::Put { key, .. }), Outcome::Put { revision }) =
            (operation.command(), outcome)
        {
            let put = (completed_at, *revision);
            acknowledged.entry(key).or_default().push(put);
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
        let earlier_puts = puts.filter(|(completed_at, _)| *completed_at < operation.invoked_at);
        let newest = earlier_puts.map(|(_, revision)| *revision).max();
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
