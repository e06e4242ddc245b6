//! A state as tests drive it: one call a batch, with a clock that they move.

#![allow(dead_code, reason = "each test file uses a part of it")]

use woadstall_coordination::batch::{Batch, BatchedCall, CallId};
use woadstall_coordination::command::{Call, Command, Query};
use woadstall_coordination::outcome::Outcome;
use woadstall_coordination::state::{AppliedBatch, CoordinationState, GroupEvents, WatchError};

/// The incarnation of the process that applies the batches, and takes the calls.
pub const INCARNATION: u64 = 77;
/// For how long history is kept, in milliseconds.
pub const HISTORY_MS: u64 = 20_000;

/// A batch with calls of this process.
pub fn batch(clock_ms: u64, calls: impl IntoIterator<Item = Call>) -> Batch {
    let batched = |(number, call)| BatchedCall {
        id: CallId {
            incarnation: INCARNATION,
            number,
        },
        call,
    };
    Batch {
        clock_ms,
        history_ms: HISTORY_MS,
        calls: (1..).zip(calls).map(batched).collect(),
    }
}

/// A request for a lock.
pub fn acquire(lock: &str, owner: &str, lease_ms: u64) -> Command {
    Command::AcquireLock {
        lock: lock.to_owned(),
        owner: owner.to_owned(),
        lease_ms,
    }
}

/// A request to extend a lease.
pub fn renew(lock: &str, owner: &str, fencing_token: u64, lease_ms: u64) -> Command {
    Command::RenewLock {
        lock: lock.to_owned(),
        owner: owner.to_owned(),
        fencing_token,
        lease_ms,
    }
}

/// A request to end a lease.
pub fn release(lock: &str, owner: &str, fencing_token: u64) -> Command {
    Command::ReleaseLock {
        lock: lock.to_owned(),
        owner: owner.to_owned(),
        fencing_token,
    }
}

/// A request for a number.
pub fn next_number(sequence: &str) -> Command {
    Command::NextNumber {
        sequence: sequence.to_owned(),
    }
}

/// A request to set a value.
pub fn put(key: &str, value: &str, if_revision: Option<u64>) -> Command {
    Command::Put {
        key: key.to_owned(),
        value: value.to_owned(),
        if_revision,
    }
}

/// A request for a value.
pub fn get(key: &str) -> Query {
    Query::Get {
        key: key.to_owned(),
    }
}

/// A request for the revision of a group.
pub fn group_revision(group: &str) -> Query {
    Query::GroupRevision {
        group: group.to_owned(),
    }
}

/// The outcome of a request for a lock that succeeded.
pub fn acquired(fencing_token: u64) -> Outcome {
    Outcome::LockAcquired { fencing_token }
}

/// The outcome of a request for a number.
pub fn number(value: u64) -> Outcome {
    Outcome::Number { value }
}

/// The outcome of a put that succeeded.
pub fn put_at(revision: u64) -> Outcome {
    Outcome::Put { revision }
}

/// The outcome of a read that found a value.
pub fn value(value: &str, revision: u64) -> Outcome {
    Outcome::Value {
        value: value.to_owned(),
        revision,
    }
}

/// A state with the clock of its next batch.
#[derive(Clone, Default)]
pub struct Service {
    pub state: CoordinationState,
    pub clock_ms: u64,
    index: u64,
}

impl Service {
    /// An empty state at clock 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Time passes without a batch.
    pub fn advance(&mut self, milliseconds: u64) {
        self.clock_ms += milliseconds;
    }

    /// Applies calls as one batch.
    pub fn apply(&mut self, calls: impl IntoIterator<Item = Call>) -> AppliedBatch {
        self.index += 1;
        let batch = batch(self.clock_ms, calls);
        self.state.apply(self.index, batch, INCARNATION)
    }

    /// Applies a batch without calls, as a leader that is idle proposes it.
    pub fn checkpoint(&mut self) -> AppliedBatch {
        self.apply([])
    }

    /// Executes a command in a batch of its own.
    pub fn execute(&mut self, command: Command) -> Outcome {
        self.apply([Call::Command(command)])
            .outcomes
            .remove(0)
            .outcome
    }

    /// Answers a query in a batch of its own.
    pub fn query(&mut self, query: Query) -> Outcome {
        self.apply([Call::Query(query)]).outcomes.remove(0).outcome
    }

    /// The events of a group after a revision.
    pub fn events_after(&self, group: &str, after: u64) -> Result<GroupEvents, WatchError> {
        self.state.events_after(group, after)
    }

    /// Replaces the state by what its snapshot holds.
    pub fn restore_from_snapshot(&mut self) {
        let bytes = self.state.encode();
        self.state = CoordinationState::decode(&bytes).unwrap();
    }
}

/// The names, values and revisions of events.
pub fn listed(found: &GroupEvents) -> Vec<(&str, &str, u64)> {
    let events = found.events.iter();
    events
        .map(|event| (&*event.key, &*event.value, event.revision))
        .collect()
}
