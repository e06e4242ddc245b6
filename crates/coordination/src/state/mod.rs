//! The state that the replicated log makes: leases of locks, sequences, keys and their history.
//!
//! # Time
//!
//! The state has a clock of its own, which moves only with batches. A leader measures it: from the
//! moment at which it has applied all entries of former leaders it adds what passes on its own
//! monotonic clock. Between leaders the clock stands still, so it never runs ahead of real time, and a
//! lease never ends earlier than the caller that holds it expects.

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

/// Bytes of names, values and history at most, so that a snapshot fits the storage.
const MAX_STATE_BYTES: usize = 4 << 20;

/// The state after a number of batches.
#[derive(Clone, Debug, Default)]
pub struct CoordinationState {
    /// The position of the last batch in the log.
    index: LogIndex,
    /// The state's clock in milliseconds.
    clock_ms: u64,
    locks: LockTable,
    sequences: SequenceTable,
    keys: KeyTable,
}

/// The outcome of a call of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// The call.
    pub id: CallId,
    /// Its outcome.
    pub outcome: Outcome,
}

/// What a batch has done.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedBatch {
    /// The outcomes of the commands, and of the queries of the process that applies the batch, in
    /// the order of the batch.
    pub outcomes: Vec<CallOutcome>,
    /// The groups whose keys have changed, each once.
    pub changed_groups: Vec<String>,
    /// The locks whose leases ran out by the time of the batch.
    pub expired_locks: Vec<String>,
}

/// Numbers of what the state holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSize {
    /// Leases that have not run out.
    pub leases: usize,
    /// Sequences.
    pub sequences: usize,
    /// Keys.
    pub keys: usize,
    /// Events in the history.
    pub events: usize,
    /// Bytes of names, values and history.
    pub bytes: usize,
}

impl CoordinationState {
    /// The position of the last batch in the log.
    pub fn index(&self) -> LogIndex {
        self.index
    }

    /// The state's clock in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// What the state holds.
    pub fn size(&self) -> StateSize {
        StateSize {
            leases: self.locks.len(),
            sequences: self.sequences.len(),
            keys: self.keys.len(),
            events: self.keys.events(),
            bytes: self.bytes(),
        }
    }

    fn bytes(&self) -> usize {
        self.locks.bytes() + self.sequences.bytes() + self.keys.bytes()
    }

    /// Applies a batch at a position of the log. Queries change nothing: they are answered only if
    /// the process with this incarnation, which applies the batch, has taken them.
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

    /// Answers a query as of now.
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

    /// The current revision of a group, 0 if nothing was put yet.
    pub fn group_revision(&self, group: &str) -> u64 {
        self.keys.group_revision(group)
    }

    /// The events of a group after a revision, the oldest first.
    ///
    /// # Errors
    ///
    /// [`WatchError::Compacted`] if the history does not reach back to the revision.
    pub fn events_after(&self, group: &str, after: u64) -> Result<GroupEvents, WatchError> {
        self.keys.events_after(group, after)
    }

    fn execute(&mut self, command: Command, changed_groups: &mut Vec<String>) -> Outcome {
        let now_ms = self.clock_ms;
        let has_room = self.bytes() + command.size() <= MAX_STATE_BYTES;
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
                    has_room,
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
            Command::NextNumber { sequence } => self.sequences.next(sequence, has_room),
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
                    has_room,
                };
                self.keys.put(put, changed_groups)
            }
        }
    }
}
