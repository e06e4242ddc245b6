//! Calls that applications make to the service.

use crate::outcome::Outcome;
use nanoserde::{DeBin, SerBin};

/// A call that may change the state. It takes effect as part of a [`Batch`](crate::batch::Batch).
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Command {
    /// Acquire a lock.
    AcquireLock {
        /// The name of the lock.
        lock: String,
        /// The lease owner, as named by the caller.
        owner: String,
        /// The duration of the lease in milliseconds.
        lease_ms: u64,
    },
    /// Extend the lease of a lock.
    RenewLock {
        /// The name of the lock.
        lock: String,
        /// The lease owner, as named by the caller.
        owner: String,
        /// The fencing token of the lease.
        fencing_token: u64,
        /// The duration of the lease from the renewal on, in milliseconds.
        lease_ms: u64,
    },
    /// Release a lock.
    ReleaseLock {
        /// The name of the lock.
        lock: String,
        /// The lease owner, as named by the caller.
        owner: String,
        /// The fencing token of the lease.
        fencing_token: u64,
    },
    /// Allocate the next number of a sequence.
    NextNumber {
        /// The name of the sequence.
        sequence: String,
    },
    /// Set the value of a key. Two puts with the same key and value count as one command,
    /// regardless of their conditions.
    Put {
        /// The name of the key.
        key: String,
        /// The new value.
        value: String,
        /// The revision that the key must have, or 0 if the key must not exist. `None` makes the
        /// put unconditional.
        if_revision: Option<u64>,
    },
}

impl Command {
    /// Whether the caller may receive the outcome of a second execution in place of the first one.
    /// Acquiring a lock is not idempotent, because a second execution issues a new fencing token.
    pub fn is_idempotent(&self) -> bool {
        !matches!(self, Self::AcquireLock { .. })
    }

    /// Whether `outcome` of one execution rules out that a second execution of the command takes
    /// effect. A command rejected with [`Outcome::LimitReached`] may still succeed later. So may a
    /// put that requires a revision which the key has not reached yet.
    pub fn is_final_outcome(&self, outcome: &Outcome) -> bool {
        match (self, outcome) {
            (Self::Put { if_revision, .. }, Outcome::RevisionConflict { current }) => {
                if_revision.is_some_and(|required| required < *current)
            }
            (_, Outcome::LimitReached) => false,
            _ => true,
        }
    }

    /// The approximate size of the command in a batch, in bytes.
    pub fn size(&self) -> usize {
        const HEADER_BYTES: usize = 40;
        let names = match self {
            Self::AcquireLock { lock, owner, .. }
            | Self::RenewLock { lock, owner, .. }
            | Self::ReleaseLock { lock, owner, .. } => lock.len() + owner.len(),
            Self::NextNumber { sequence } => sequence.len(),
            Self::Put { key, value, .. } => key.len() + value.len(),
        };
        HEADER_BYTES + names
    }
}

/// A call that reads the state.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Query {
    /// Read the value of a key.
    Get {
        /// The name of the key.
        key: String,
    },
    /// Read the current revision of a key group.
    GroupRevision {
        /// The name of the group; see [`group_of`].
        group: String,
    },
}

/// A call of an application.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Call {
    /// A call that may change the state.
    Command(Command),
    /// A call that only reads the state.
    Query(Query),
}

impl Call {
    /// The approximate size of the call in a packet, in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Command(command) => command.size(),
            Self::Query(Query::Get { key: name } | Query::GroupRevision { group: name }) => {
                name.len()
            }
        }
    }
}

/// The group of a key: the part of its name before the first dot, or the whole name if it has no
/// dot. The keys of a group share one revision counter.
pub fn group_of(key: &str) -> &str {
    key.split_once('.').map_or(key, |(group, _)| group)
}
