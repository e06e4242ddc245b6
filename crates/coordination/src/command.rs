//! The calls of applications.

use crate::outcome::Outcome;
use nanoserde::{DeBin, SerBin};

/// A call that may change the state; it takes effect as part of a [`Batch`](crate::batch::Batch).
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Command {
    /// Acquire a lock.
    AcquireLock {
        /// The name of the lock.
        lock: String,
        /// The name of the caller.
        owner: String,
        /// The duration of the lease in milliseconds.
        lease_ms: u64,
    },
    /// Extend the lease of a lock.
    RenewLock {
        /// The name of the lock.
        lock: String,
        /// The name of the caller.
        owner: String,
        /// The fencing token of the lease.
        fencing_token: u64,
        /// The duration of the lease from now on, in milliseconds.
        lease_ms: u64,
    },
    /// Release a lock.
    ReleaseLock {
        /// The name of the lock.
        lock: String,
        /// The name of the caller.
        owner: String,
        /// The fencing token of the lease.
        fencing_token: u64,
    },
    /// Take the next number of a sequence.
    NextNumber {
        /// The name of the sequence.
        sequence: String,
    },
    /// Set the value of a key. The same value for the same key is the same command.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The revision that the key must have, 0 if it must not exist.
        if_revision: Option<u64>,
    },
}

impl Command {
    /// Whether a caller that gets the outcome of a second execution is served as well as by that of
    /// the first one. A lock that is acquired a second time gets another fencing token.
    pub fn is_idempotent(&self) -> bool {
        !matches!(self, Self::AcquireLock { .. })
    }

    /// Whether a second execution can't take effect any more where the first one had this outcome.
    /// A put that did not fit, or that requires a revision to come, may still succeed.
    pub fn is_final_outcome(&self, outcome: &Outcome) -> bool {
        match (self, outcome) {
            (Self::Put { if_revision, .. }, Outcome::RevisionConflict { current }) => {
                if_revision.is_some_and(|required| required < *current)
            }
            (_, Outcome::LimitReached) => false,
            _ => true,
        }
    }

    /// About how many bytes the command takes in a batch.
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
    /// The value of a key.
    Get {
        /// The key.
        key: String,
    },
    /// The current revision of a group of keys.
    GroupRevision {
        /// The group; see [`group_of`].
        group: String,
    },
}

/// A call of an application.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Call {
    /// It may change the state.
    Command(Command),
    /// It reads the state.
    Query(Query),
}

impl Call {
    /// About how many bytes the call takes in a message.
    pub fn size(&self) -> usize {
        match self {
            Self::Command(command) => command.size(),
            Self::Query(Query::Get { key: name } | Query::GroupRevision { group: name }) => {
                name.len()
            }
        }
    }
}

/// The group of a key, which shares one count of revisions: the name up to the first dot, without
/// it.
pub fn group_of(key: &str) -> &str {
    key.split_once('.').map_or(key, |(group, _)| group)
}
