//! What comes of a call that was executed.

use nanoserde::{DeBin, SerBin};

/// The outcome of a call, as of its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Outcome {
    /// The lock is acquired.
    LockAcquired {
        /// The fencing token of the lease, greater than all tokens before.
        fencing_token: u64,
    },
    /// The lock is held by another caller.
    LockHeld,
    /// The lease is extended.
    LockRenewed,
    /// The caller's lease has ended.
    LockLost,
    /// The caller does not hold the lock, or no longer does.
    LockReleased,
    /// The next number of a sequence.
    Number {
        /// The number, greater than all before.
        value: u64,
    },
    /// The value is set.
    Put {
        /// The revision at which the value was first set.
        revision: u64,
    },
    /// The key has another revision than the caller required; nothing was changed.
    RevisionConflict {
        /// The revision of the key, 0 if it does not exist.
        current: u64,
    },
    /// There is no room for more names, values or history; nothing was changed.
    LimitReached,
    /// The value of a key.
    Value {
        /// The value.
        value: String,
        /// The revision at which it was set.
        revision: u64,
    },
    /// The key does not exist.
    KeyNotFound,
    /// The current revision of a group, 0 if nothing was put yet.
    GroupRevision {
        /// The revision.
        revision: u64,
    },
}
