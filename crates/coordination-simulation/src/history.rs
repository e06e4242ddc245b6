//! The recorded history of a simulation: requests of clients with their answers, and the intervals
//! in which clients relied on their leases.

use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::command::{Call, Command, Query};
use woadstall_coordination::machine::{Response, WatchRequest};
use woadstall_coordination::outcome::Outcome;

/// Index of a client in the order in which clients were added.
pub type ClientId = usize;
/// Index of an operation in [`History::operations`].
pub type OperationId = usize;

/// A virtual time with a sequence number that orders records of the same millisecond.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp {
    /// Virtual time, in milliseconds.
    pub time_ms: u64,
    /// Position among all recorded invocations and completions, from 1.
    pub sequence_number: u64,
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// A command or a query, which gets one answer.
    Call(Call),
    /// A watch of a group of keys.
    Watch {
        /// The request as the machine receives it.
        watch: WatchRequest,
        /// When the client received the revision after which the watch starts, in milliseconds.
        received_ms: u64,
    },
}

/// The result of a request as the client observes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The machine responded.
    Response(Response),
    /// The connection to the machine was lost or refused.
    Disconnected,
    /// No answer arrived before the client's timeout.
    TimedOut,
}

impl Answer {
    /// The outcome of the call; `None` if the answer does not confirm its execution.
    pub fn outcome(&self) -> Option<&Outcome> {
        match self {
            Self::Response(Response::Executed(outcome)) => Some(outcome),
            _ => None,
        }
    }

    /// Whether the answer guarantees that the call has had no effect and never will have one.
    pub fn is_rejection(&self) -> bool {
        match self {
            Self::Response(Response::NotExecuted | Response::Overloaded) => true,
            _ => matches!(
                self.outcome(),
                Some(Outcome::RevisionConflict { .. } | Outcome::LimitReached)
            ),
        }
    }
}

/// The completion of an operation: its answer with the time of arrival at the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// When the answer reached the client, or the client gave up.
    pub completed_at: Timestamp,
    /// The first answer that the client received.
    pub answer: Answer,
}

/// A request with its answer, as in a history for linearizability checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// The client that sent the request.
    pub client: ClientId,
    /// The machine that the request was sent to.
    pub node: NodeIndex,
    /// The request, unchanged by resends (each resend is an operation of its own).
    pub request: Request,
    /// When the client sent the request.
    pub invoked_at: Timestamp,
    /// The completion; `None` while the request is pending. A request stays pending forever if its
    /// client was stopped or the simulation ended first.
    pub completion: Option<Completion>,
}

impl Operation {
    /// When the client learned the outcome, and the outcome, if the operation was executed.
    pub fn outcome(&self) -> Option<(Timestamp, &Outcome)> {
        let completion = self.completion.as_ref()?;
        Some((completion.completed_at, completion.answer.outcome()?))
    }

    /// The command that was sent; `None` for queries and watches.
    pub fn command(&self) -> Option<&Command> {
        match &self.request {
            Request::Call(Call::Command(command)) => Some(command),
            _ => None,
        }
    }

    /// The query that was sent; `None` for commands and watches.
    pub fn query(&self) -> Option<&Query> {
        match &self.request {
            Request::Call(Call::Query(query)) => Some(query),
            _ => None,
        }
    }

    /// The watch request, and when the client received the revision after which the watch starts,
    /// in milliseconds; `None` for commands and queries.
    pub fn watch(&self) -> Option<(&WatchRequest, u64)> {
        match &self.request {
            Request::Watch { watch, received_ms } => Some((watch, *received_ms)),
            Request::Call(_) => None,
        }
    }

    /// The response of the machine, if one arrived in time.
    pub fn response(&self) -> Option<&Response> {
        match &self.completion.as_ref()?.answer {
            Answer::Response(response) => Some(response),
            Answer::Disconnected | Answer::TimedOut => None,
        }
    }
}

/// An interval in which a client relies on a lease and regards itself as the owner of the lock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseInterval {
    /// Name of the lock.
    pub lock: String,
    /// Name under which the client acquired the lock.
    pub owner: String,
    /// The fencing token that came with the lease.
    pub fencing_token: u64,
    /// Start of the interval, in milliseconds.
    pub start_ms: u64,
    /// End of the interval (exclusive), in milliseconds.
    pub end_ms: u64,
}

/// A request of the final phase of a simulation, which must be answered before the simulation ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalCall {
    /// The request and its goal as text, for reports of violations.
    pub request: String,
    /// When the goal of the request was reached, in milliseconds.
    pub answered_ms: Option<u64>,
    /// The first answer of a watch that ended before an acknowledged revision.
    pub lagging_watch: Option<LaggingWatch>,
}

/// A watch whose answer ended at a revision below one that had already been acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaggingWatch {
    /// The revision up to which the answer covers the events.
    pub revision: u64,
    /// The acknowledged revision that the answer should have covered.
    pub acknowledged: u64,
}

/// The history of all clients of a simulation.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The operations, in the order of their invocation.
    pub operations: Vec<Operation>,
    /// The intervals in which clients relied on leases, in the order of acquisition.
    pub lease_intervals: Vec<LeaseInterval>,
    /// The requests of the final phase.
    pub final_calls: Vec<FinalCall>,
    last_sequence_number: u64,
}

impl History {
    fn next_timestamp(&mut self, time_ms: u64) -> Timestamp {
        self.last_sequence_number += 1;
        Timestamp {
            time_ms,
            sequence_number: self.last_sequence_number,
        }
    }

    /// Records that a client sent a request to a machine.
    pub fn invoke(
        &mut self,
        now_ms: u64,
        client: ClientId,
        node: NodeIndex,
        request: Request,
    ) -> OperationId {
        let invoked_at = self.next_timestamp(now_ms);
        self.operations.push(Operation {
            client,
            node,
            request,
            invoked_at,
            completion: None,
        });
        self.operations.len() - 1
    }

    /// Records an answer, unless the operation is already complete. Returns whether it was
    /// recorded.
    pub fn complete(&mut self, now_ms: u64, operation: OperationId, answer: Answer) -> bool {
        let completed_at = self.next_timestamp(now_ms);
        let completion = &mut self.operations[operation].completion;
        let is_first = completion.is_none();
        completion.get_or_insert(Completion {
            completed_at,
            answer,
        });
        is_first
    }

    /// The operations that were executed, with the time at which the client learned the outcome and
    /// with the outcome.
    pub fn executed(&self) -> impl Iterator<Item = (&Operation, Timestamp, &Outcome)> {
        self.operations.iter().filter_map(|operation| {
            let (completed_at, outcome) = operation.outcome()?;
            Some((operation, completed_at, outcome))
        })
    }
}
