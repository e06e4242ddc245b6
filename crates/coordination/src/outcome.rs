//! Outcomes of executed calls.

use nanoserde::{DeBin, SerBin};

/// The outcome of an executed call. It reflects the state at the position of the call in the log.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Outcome {
    /// The caller has acquired the lock.
    LockAcquired {
        /// The fencing token of the lease. It is greater than every token issued before, for any
        /// lock.
        fencing_token: u64,
    },
    /// Another owner has a lease of the lock.
    LockHeld,
    /// The lease was renewed. Its expiry is unchanged if it was already later than requested.
    LockRenewed,
    /// The lease to renew is not the current lease of the lock. It has expired, was released or was
    /// replaced by a newer lease.
    LockLost,
    /// The lease with the given owner and fencing token does not exist, or no longer exists.
    LockReleased,
    /// A number was allocated from a sequence.
    Number {
        /// The allocated number, greater than every number of the sequence before.
        value: u64,
    },
    /// The value is set. A repeated put reports its first execution.
    Put {
        /// The revision of the first execution of the put.
        revision: u64,
    },
    /// The key does not have the required revision. The state is unchanged.
    RevisionConflict {
        /// The current revision of the key, 0 if the key does not exist.
        current: u64,
    },
    /// The state has reached its size limit for names, values and history. The state is unchanged.
    LimitReached,
    /// The key exists.
    Value {
        /// The current value of the key.
        value: String,
        /// The revision at which the value was set.
        revision: u64,
    },
    /// The key does not exist.
    KeyNotFound,
    /// The current revision of a key group.
    GroupRevision {
        /// The revision of the group's newest put, 0 if the group has no puts.
        revision: u64,
    },
}
