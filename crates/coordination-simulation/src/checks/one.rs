//! At most one holder of a lock, with a fencing token greater than those of all holders before.

use crate::history::{History, LeaseInterval, Timestamp};
use std::collections::BTreeMap;
use thiserror::Error;
use woadstall_coordination::command::Command;
use woadstall_coordination::outcome::Outcome;

/// How a lock has more than one holder.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OneViolation {
    /// Two callers regard a lock as theirs.
    #[error("two callers hold a lock at a time: {first:?} and {second:?}")]
    OverlappingLeases {
        /// The interval that began first.
        first: Box<LeaseInterval>,
        /// The other one.
        second: Box<LeaseInterval>,
    },
    /// A token is not greater than that of another holder, which was known before the call.
    #[error("lock {lock}: {owner} got token {token} after {previous_owner} had {previous_token}")]
    TokenNotIncreasing {
        /// The lock.
        lock: String,
        /// The later holder.
        owner: String,
        /// Its token.
        token: u64,
        /// The earlier holder.
        previous_owner: String,
        /// Its token.
        previous_token: u64,
    },
    /// Two holders got the same token.
    #[error("lock {lock}: {first} and {second} both got token {token}")]
    DuplicateToken {
        /// The lock.
        lock: String,
        /// A holder.
        first: String,
        /// Another holder.
        second: String,
        /// The token of both.
        token: u64,
    },
}

/// A lock that was acquired.
#[derive(Clone, Copy, Debug)]
struct Grant<'a> {
    owner: &'a str,
    token: u64,
    invoked_at: Timestamp,
    completed_at: Timestamp,
}

/// Checks the claims and the fencing tokens of a history.
///
/// # Errors
///
/// The first violation that is found.
pub fn check(history: &History) -> Result<(), OneViolation> {
    check_lease_intervals(&history.lease_intervals)?;
    for (lock, grants) in grants_by_lock(history) {
        check_tokens(lock, &grants)?;
    }
    Ok(())
}

fn check_lease_intervals(lease_intervals: &[LeaseInterval]) -> Result<(), OneViolation> {
    let mut by_lock: BTreeMap<&str, Vec<&LeaseInterval>> = BTreeMap::new();
    for interval in lease_intervals
        .iter()
        .filter(|interval| interval.start_ms < interval.end_ms)
    {
        by_lock.entry(&interval.lock).or_default().push(interval);
    }
    for lease_intervals in by_lock.values_mut() {
        lease_intervals.sort_by_key(|interval| interval.start_ms);
        for (number, first) in lease_intervals.iter().enumerate() {
            let overlapping = lease_intervals[number + 1..]
                .iter()
                .take_while(|second| second.start_ms < first.end_ms);
            if let Some(second) = overlapping
                .into_iter()
                .find(|second| second.owner != first.owner)
            {
                return Err(OneViolation::OverlappingLeases {
                    first: Box::new((*first).clone()),
                    second: Box::new((*second).clone()),
                });
            }
        }
    }
    Ok(())
}

fn grants_by_lock(history: &History) -> BTreeMap<&str, Vec<Grant<'_>>> {
    let mut by_lock: BTreeMap<&str, Vec<Grant<'_>>> = BTreeMap::new();
    for (operation, completed_at, outcome) in history.executed() {
        if let (
            Some(Command::AcquireLock { lock, owner, .. }),
            Outcome::LockAcquired { fencing_token },
        ) = (operation.command(), outcome)
        {
            by_lock.entry(lock).or_default().push(Grant {
                owner,
                token: *fencing_token,
                invoked_at: operation.invoked_at,
                completed_at,
            });
        }
    }
    by_lock
}

fn check_tokens(lock: &str, grants: &[Grant<'_>]) -> Result<(), OneViolation> {
    for second in grants {
        for first in grants.iter().filter(|first| first.owner != second.owner) {
            if first.token == second.token {
                return Err(OneViolation::DuplicateToken {
                    lock: lock.to_owned(),
                    first: first.owner.to_owned(),
                    second: second.owner.to_owned(),
                    token: first.token,
                });
            }
            if first.completed_at < second.invoked_at && first.token > second.token {
                return Err(OneViolation::TokenNotIncreasing {
                    lock: lock.to_owned(),
                    owner: second.owner.to_owned(),
                    token: second.token,
                    previous_owner: first.owner.to_owned(),
                    previous_token: first.token,
                });
            }
        }
    }
    Ok(())
}
