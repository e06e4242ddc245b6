//! ONE: a lock has at most one owner at a time, and the fencing token of each owner is greater than
//! the tokens of all previous owners.

use crate::history::{History, LeaseInterval, Timestamp};
use std::collections::BTreeMap;
use thiserror::Error;
use woadstall_coordination::command::Command;
use woadstall_coordination::outcome::Outcome;

/// A violation of the rule ONE.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OneViolation {
    /// Two clients relied on leases of one lock at the same time.
    #[error("two clients owned a lock at the same time: {first:?} and {second:?}")]
    OverlappingLeases {
        /// The interval that started first.
        first: Box<LeaseInterval>,
        /// The overlapping interval of another owner.
        second: Box<LeaseInterval>,
    },
    /// A fencing token is smaller than one that another owner had received before the lock was
    /// requested.
    #[error(
        "lock {lock}: {owner} received token {token} after {previous_owner} had received \
         {previous_token}"
    )]
    TokenNotIncreasing {
        /// Name of the lock.
        lock: String,
        /// The later owner.
        owner: String,
        /// Fencing token of the later owner.
        token: u64,
        /// The earlier owner.
        previous_owner: String,
        /// Fencing token of the earlier owner.
        previous_token: u64,
    },
    /// Two owners received the same fencing token.
    #[error("lock {lock}: {first} and {second} both received token {token}")]
    DuplicateToken {
        /// Name of the lock.
        lock: String,
        /// One owner.
        first: String,
        /// The other owner.
        second: String,
        /// The token that both owners received.
        token: u64,
    },
}

/// A successful acquisition of a lock.
#[derive(Clone, Copy, Debug)]
struct Grant<'a> {
    owner: &'a str,
    token: u64,
    invoked_at: Timestamp,
    completed_at: Timestamp,
}

/// Checks the lease intervals and the fencing tokens.
///
/// # Errors
///
/// Returns the first violation in the history.
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
