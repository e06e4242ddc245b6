//! Locks and their leases: owner, fencing token and expiry of each lease.

use crate::outcome::Outcome;
use std::collections::{BTreeMap, BTreeSet};

/// The overhead of a lease beyond its names, in bytes.
const LEASE_BYTES: usize = 48;

/// A lease of a lock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Lease {
    pub owner: String,
    pub fencing_token: u64,
    /// The end of the lease, in milliseconds of the state's clock.
    pub expires_ms: u64,
}

/// A request to acquire a lock.
#[derive(Clone, Debug)]
pub(super) struct AcquireRequest {
    pub lock: String,
    pub owner: String,
    pub expires_ms: u64,
    /// Whether the state has capacity for another lease.
    pub may_grow: bool,
}

/// Identifies a lease in the request of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseId<'a> {
    pub lock: &'a str,
    pub owner: &'a str,
    pub fencing_token: u64,
}

/// The leases that have not expired.
#[derive(Clone, Debug, Default)]
pub(super) struct LockTable {
    /// The greatest fencing token issued so far. All locks share one counter, so a token is never
    /// reused after the lease of a lock has been removed.
    last_fencing_token: u64,
    leases: BTreeMap<String, Lease>,
    /// The locks, ordered by the expiry of their leases.
    by_expiry: BTreeSet<(u64, String)>,
    bytes: usize,
}

impl LockTable {
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn last_fencing_token(&self) -> u64 {
        self.last_fencing_token
    }

    pub fn leases(&self) -> impl Iterator<Item = (&String, &Lease)> {
        self.leases.iter()
    }

    /// Acquires a lock unless another owner has a lease of it. An owner that acquires its own lock
    /// again gets a new fencing token, so delayed calls with the former token don't affect the new
    /// lease. The new lease never ends earlier than the former one. An owner that has not received
    /// the response still relies on the former lease.
    pub fn acquire(&mut self, request: AcquireRequest) -> Outcome {
        let AcquireRequest {
            lock,
            owner,
            expires_ms,
            may_grow,
        } = request;
        let current = self.leases.get(&lock);
        if current.is_some_and(|lease| lease.owner != owner) {
            return Outcome::LockHeld;
        }
        if current.is_none() && !may_grow {
            return Outcome::LimitReached;
        }
        let former_expiry_ms = current.map_or(0, |lease| lease.expires_ms);
        self.last_fencing_token += 1;
        let fencing_token = self.last_fencing_token;
        let lease = Lease {
            owner,
            fencing_token,
            expires_ms: expires_ms.max(former_expiry_ms),
        };
        self.insert(lock, lease);
        Outcome::LockAcquired { fencing_token }
    }

    /// Extends a lease. A renewal never shortens the lease.
    pub fn renew(&mut self, id: LeaseId<'_>, expires_ms: u64) -> Outcome {
        let Some(lease) = self.current(id) else {
            return Outcome::LockLost;
        };
        let expires_ms = lease.expires_ms.max(expires_ms);
        let lease = Lease {
            expires_ms,
            ..lease.clone()
        };
        self.insert(id.lock.to_owned(), lease);
        Outcome::LockRenewed
    }

    /// Ends a lease if it is the current lease of its lock.
    pub fn release(&mut self, id: LeaseId<'_>) -> Outcome {
        if self.current(id).is_some() {
            self.remove(id.lock);
        }
        Outcome::LockReleased
    }

    /// Removes the leases that have expired at `now_ms` and returns the names of their locks in
    /// order of expiry.
    pub fn expire(&mut self, now_ms: u64) -> Vec<String> {
        let mut expired = Vec::new();
        while let Some((expires_ms, lock)) = self.by_expiry.first() {
            if *expires_ms > now_ms {
                break;
            }
            let lock = lock.clone();
            self.remove(&lock);
            expired.push(lock);
        }
        expired
    }

    /// The lease identified by `id`, if it is the current lease of its lock.
    fn current(&self, id: LeaseId<'_>) -> Option<&Lease> {
        let matches_id =
            |lease: &&Lease| lease.owner == id.owner && lease.fencing_token == id.fencing_token;
        self.leases.get(id.lock).filter(matches_id)
    }

    /// Sets the lease of a lock, replacing a former lease.
    pub fn insert(&mut self, lock: String, lease: Lease) {
        self.remove(&lock);
        self.last_fencing_token = self.last_fencing_token.max(lease.fencing_token);
        self.bytes += size(&lock, &lease);
        self.by_expiry.insert((lease.expires_ms, lock.clone()));
        self.leases.insert(lock, lease);
    }

    /// Raises the token counter to at least `last`.
    pub fn set_last_fencing_token(&mut self, last: u64) {
        self.last_fencing_token = self.last_fencing_token.max(last);
    }

    fn remove(&mut self, lock: &str) {
        if let Some(lease) = self.leases.remove(lock) {
            self.bytes -= size(lock, &lease);
            self.by_expiry.remove(&(lease.expires_ms, lock.to_owned()));
        }
    }
}

fn size(lock: &str, lease: &Lease) -> usize {
    LEASE_BYTES + 2 * lock.len() + lease.owner.len()
}
