//! At most one holder of a lock, with a fencing token greater than those of all holders before.

use crate::history::{Claim, History, Moment};
use std::collections::BTreeMap;
use thiserror::Error;
use woadstall_coordination::command::Command;
use woadstall_coordination::outcome::Outcome;

/// How a lock has more than one holder.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OneViolation {
    /// Two callers regard a lock as theirs.
    #[error("two callers hold a lock at a time: {first:?} and {second:?}")]
    TwoHolders {
        /// The claim that began first.
        first: Box<Claim>,
        /// The other one.
        second: Box<Claim>,
    },
    /// A token is not greater than that of another holder, which was known before the call.
    #[error("lock {lock}: {holder} got token {token} after {former_holder} had {former_token}")]
    TokenNotRising {
        /// The lock.
        lock: String,
        /// The later holder.
        holder: String,
        /// Its token.
        token: u64,
        /// The earlier holder.
        former_holder: String,
        /// Its token.
        former_token: u64,
    },
    /// Two holders got the same token.
    #[error("lock {lock}: {first} and {second} both got token {token}")]
    SameToken {
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
    holder: &'a str,
    token: u64,
    called: Moment,
    known: Moment,
}

/// Checks the claims and the fencing tokens of a history.
///
/// # Errors
///
/// The first violation that is found.
pub fn check(history: &History) -> Result<(), OneViolation> {
    check_claims(&history.claims)?;
    for (lock, grants) in grants_by_lock(history) {
        check_tokens(lock, &grants)?;
    }
    Ok(())
}

fn check_claims(claims: &[Claim]) -> Result<(), OneViolation> {
    let mut by_lock: BTreeMap<&str, Vec<&Claim>> = BTreeMap::new();
    for claim in claims.iter().filter(|claim| claim.from_ms < claim.until_ms) {
        by_lock.entry(&claim.lock).or_default().push(claim);
    }
    for claims in by_lock.values_mut() {
        claims.sort_by_key(|claim| claim.from_ms);
        for (number, first) in claims.iter().enumerate() {
            let overlapping = claims[number + 1..]
                .iter()
                .take_while(|second| second.from_ms < first.until_ms);
            if let Some(second) = overlapping
                .into_iter()
                .find(|second| second.holder != first.holder)
            {
                return Err(OneViolation::TwoHolders {
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
    for (operation, known, outcome) in history.executed() {
        if let (
            Some(Command::AcquireLock { lock, owner, .. }),
            Outcome::LockAcquired { fencing_token },
        ) = (operation.command(), outcome)
        {
            by_lock.entry(lock).or_default().push(Grant {
                holder: owner,
                token: *fencing_token,
                called: operation.called,
                known,
            });
        }
    }
    by_lock
}

fn check_tokens(lock: &str, grants: &[Grant<'_>]) -> Result<(), OneViolation> {
    for second in grants {
        for first in grants.iter().filter(|first| first.holder != second.holder) {
            if first.token == second.token {
                return Err(OneViolation::SameToken {
                    lock: lock.to_owned(),
                    first: first.holder.to_owned(),
                    second: second.holder.to_owned(),
                    token: first.token,
                });
            }
            if first.known < second.called && first.token > second.token {
                return Err(OneViolation::TokenNotRising {
                    lock: lock.to_owned(),
                    holder: second.holder.to_owned(),
                    token: second.token,
                    former_holder: first.holder.to_owned(),
                    former_token: first.token,
                });
            }
        }
    }
    Ok(())
}
