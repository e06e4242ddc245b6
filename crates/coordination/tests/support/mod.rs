//! A replicated state for tests, with a manual clock. Commands are applied in batches of one call.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use woadstall_coordination::batch::{Batch, BatchedCall, CallId};
use woadstall_coordination::command::{Call, Command, Query};
use woadstall_coordination::outcome::Outcome;
use woadstall_coordination::state::{AppliedBatch, CoordinationState, GroupEvents, WatchError};

/// The incarnation of the process that accepts the calls and applies the batches.
pub const INCARNATION: u64 = 77;
/// The retention time of the key history, in milliseconds.
pub const HISTORY_MS: u64 = 20_000;

/// A batch of calls with the identifiers of process [`INCARNATION`].
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

/// A command that acquires a lock.
pub fn acquire(lock: &str, owner: &str, lease_ms: u64) -> Command {
    Command::AcquireLock {
        lock: lock.to_owned(),
        owner: owner.to_owned(),
        lease_ms,
    }
}

/// A command that renews a lease.
pub fn renew(lock: &str, owner: &str, fencing_token: u64, lease_ms: u64) -> Command {
    Command::RenewLock {
        lock: lock.to_owned(),
        owner: owner.to_owned(),
        fencing_token,
        lease_ms,
    }
}

/// A command that releases a lock.
pub fn release(lock: &str, owner: &str, fencing_token: u64) -> Command {
    Command::ReleaseLock {
        lock: lock.to_owned(),
        owner: owner.to_owned(),
        fencing_token,
    }
}

/// A command that allocates the next number of a sequence.
pub fn next_number(sequence: &str) -> Command {
    Command::NextNumber {
        sequence: sequence.to_owned(),
    }
}

/// A command that sets the value of a key.
pub fn put(key: &str, value: &str, if_revision: Option<u64>) -> Command {
    Command::Put {
        key: key.to_owned(),
        value: value.to_owned(),
        if_revision,
    }
}

/// A query for the value of a key.
pub fn get(key: &str) -> Query {
    Query::Get {
        key: key.to_owned(),
    }
}

/// A query for the revision of a key group.
pub fn group_revision(group: &str) -> Query {
    Query::GroupRevision {
        group: group.to_owned(),
    }
}

/// The outcome of an acquired lock.
pub fn acquired(fencing_token: u64) -> Outcome {
    Outcome::LockAcquired { fencing_token }
}

/// The outcome of an allocated number.
pub fn number(value: u64) -> Outcome {
    Outcome::Number { value }
}

/// The outcome of a successful put.
pub fn put_at(revision: u64) -> Outcome {
    Outcome::Put { revision }
}

/// The outcome of a query that found a value.
pub fn value(value: &str, revision: u64) -> Outcome {
    Outcome::Value {
        value: value.to_owned(),
        revision,
    }
}

/// A state and the clock of the next batch.
#[derive(Clone, Default)]
pub struct Service {
    pub state: CoordinationState,
    pub clock_ms: u64,
    index: u64,
}

impl Service {
    /// Creates an empty state with the clock at 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Advances the clock without applying a batch.
    pub fn advance(&mut self, milliseconds: u64) {
        self.clock_ms += milliseconds;
    }

    /// Applies calls as one batch.
    pub fn apply(&mut self, calls: impl IntoIterator<Item = Call>) -> AppliedBatch {
        self.index += 1;
        let batch = batch(self.clock_ms, calls);
        self.state.apply(self.index, batch, INCARNATION)
    }

    /// Applies a batch without calls, such as an idle leader proposes.
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

    /// The events of a key group after the revision `after`.
    pub fn events_after(&self, group: &str, after: u64) -> Result<GroupEvents, WatchError> {
        self.state.events_after(group, after)
    }

    /// Replaces the state by the decoded form of its own snapshot.
    pub fn restore_from_snapshot(&mut self) {
        let bytes = self.state.encode();
        self.state = CoordinationState::decode(&bytes).unwrap();
    }
}

/// The key, value and revision of each event.
pub fn listed(found: &GroupEvents) -> Vec<(&str, &str, u64)> {
    let events = found.events.iter();
    events
        .map(|event| (&*event.key, &*event.value, event.revision))
        .collect()
}
