//! The replicated state: leases of locks, sequences, and keys with their history.
//!
//! # Time
//!
//! The state has its own clock, which advances only with applied batches. The leader measures it.
//! Once the leader has applied all entries of former leaders, it adds the time that elapses on its
//! own monotonic clock. The state's clock stands still between leaders, so it never runs ahead of
//! real time. A lease therefore never ends earlier than its owner expects.

mod feed;
mod keys;
mod locks;
mod sequences;
mod snapshot;

pub use feed::{Event, GroupEvents, WatchError};

use crate::batch::{Batch, BatchedCall, CallId};
use crate::command::{Call, Command, Query};
use crate::outcome::Outcome;
use keys::KeyTable;
use locks::{AcquireRequest, LeaseId, LockTable};
use sequences::SequenceTable;
use woadstall_consensus::LogIndex;

/// The maximum size of names, values and history, in bytes. The limit ensures that a snapshot fits
/// the storage.
const MAX_STATE_BYTES: usize = 4 << 20;

/// The replicated state after the last applied batch.
#[derive(Clone, Debug, Default)]
pub struct CoordinationState {
    /// The log index of the last applied batch.
    index: LogIndex,
    /// The state's clock in milliseconds.
    clock_ms: u64,
    locks: LockTable,
    sequences: SequenceTable,
    keys: KeyTable,
}

/// The outcome of a call in a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// The identifier of the call.
    pub id: CallId,
    /// The outcome at the position of the call in the log.
    pub outcome: Outcome,
}

/// The effects of an applied batch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedBatch {
    /// The outcomes in the order of the batch. They cover all commands, but only the queries that
    /// were accepted by the process that applies the batch.
    pub outcomes: Vec<CallOutcome>,
    /// The groups with new events, without duplicates.
    pub changed_groups: Vec<String>,
    /// The locks whose leases expired by the time of the batch, in order of expiry.
    pub expired_locks: Vec<String>,
}

/// The size of the state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSize {
    /// The number of leases that have not expired.
    pub leases: usize,
    /// The number of sequences.
    pub sequences: usize,
    /// The number of keys.
    pub keys: usize,
    /// The number of events in the history.
    pub events: usize,
    /// The size of names, values and history, in bytes.
    pub bytes: usize,
}

impl CoordinationState {
    /// The log index of the last applied batch, 0 before the first batch.
    pub fn index(&self) -> LogIndex {
        self.index
    }

    /// The state's clock in milliseconds, as of the last applied batch.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// The numbers of leases, sequences, keys and events, and their total size in bytes.
    pub fn size(&self) -> StateSize {
        StateSize {
            leases: self.locks.len(),
            sequences: self.sequences.len(),
            keys: self.keys.len(),
            events: self.keys.event_count(),
            bytes: self.bytes(),
        }
    }

    fn bytes(&self) -> usize {
        self.locks.bytes() + self.sequences.bytes() + self.keys.bytes()
    }

    /// Applies the batch at the log index `index`. `incarnation` identifies the process that
    /// applies the batch. Queries don't change the state, so the queries of other processes are
    /// skipped.
    pub fn apply(&mut self, index: LogIndex, batch: Batch, incarnation: u64) -> AppliedBatch {
        self.index = index;
        self.clock_ms = self.clock_ms.max(batch.clock_ms);
        self.keys.expire_history(self.clock_ms, batch.history_ms);
        let mut applied = AppliedBatch {
            expired_locks: self.locks.expire(self.clock_ms),
            ..AppliedBatch::default()
        };
        for BatchedCall { id, call } in batch.calls {
            let outcome = match call {
                Call::Command(command) => self.execute(command, &mut applied.changed_groups),
                Call::Query(query) if id.incarnation == incarnation => self.query(&query),
                Call::Query(_) => continue,
            };
            applied.outcomes.push(CallOutcome { id, outcome });
        }
        applied
    }

    /// Answers a query from the current state.
    pub fn query(&self, query: &Query) -> Outcome {
        match query {
            Query::Get { key } => match self.keys.get(key) {
                Some((value, revision)) => Outcome::Value {
                    value: value.to_owned(),
                    revision,
                },
                None => Outcome::KeyNotFound,
            },
            Query::GroupRevision { group } => Outcome::GroupRevision {
                revision: self.group_revision(group),
            },
        }
    }

    /// The current revision of a key group, 0 if the group has no puts.
    pub fn group_revision(&self, group: &str) -> u64 {
        self.keys.group_revision(group)
    }

    /// The events of a key group after the revision `after`, oldest first. A long list is cut off;
    /// see [`GroupEvents::revision`].
    ///
    /// # Errors
    ///
    /// Returns [`WatchError::Compacted`] if the history no longer contains all events after
    /// `after`.
    pub fn events_after(&self, group: &str, after: u64) -> Result<GroupEvents, WatchError> {
        self.keys.events_after(group, after)
    }

    fn execute(&mut self, command: Command, changed_groups: &mut Vec<String>) -> Outcome {
        let now_ms = self.clock_ms;
        let may_grow = self.bytes() + command.size() <= MAX_STATE_BYTES;
        match command {
            Command::AcquireLock {
                lock,
                owner,
                lease_ms,
            } => {
                let request = AcquireRequest {
                    lock,
                    owner,
                    expires_ms: now_ms.saturating_add(lease_ms),
                    may_grow,
                };
                self.locks.acquire(request)
            }
            Command::RenewLock {
                lock,
                owner,
                fencing_token,
                lease_ms,
            } => {
                let lease = LeaseId {
                    lock: &lock,
                    owner: &owner,
                    fencing_token,
                };
                self.locks.renew(lease, now_ms.saturating_add(lease_ms))
            }
            Command::ReleaseLock {
                lock,
                owner,
                fencing_token,
            } => {
                let lease = LeaseId {
                    lock: &lock,
                    owner: &owner,
                    fencing_token,
                };
                self.locks.release(lease)
            }
            Command::NextNumber { sequence } => self.sequences.next(sequence, may_grow),
            Command::Put {
                key,
                value,
                if_revision,
            } => {
                let put = keys::PutRequest {
                    key,
                    value,
                    if_revision,
                    at_ms: now_ms,
                    may_grow,
                };
                self.keys.put(put, changed_groups)
            }
        }
    }
}
