//! What clients have asked, what they were answered, and which locks they regarded as theirs.

use woadstall_control_simulation::NodeIndex;
use woadstall_coordination::command::{Call, Command, Query};
use woadstall_coordination::machine::{Response, WatchRequest};
use woadstall_coordination::outcome::Outcome;

/// The number of a client.
pub type ClientId = usize;
/// The number of an operation in its history.
pub type OperationId = usize;

/// A point in the course of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp {
    /// The time in milliseconds.
    pub at_ms: u64,
    /// The position among all that was recorded: orders moments of the same time.
    pub order: u64,
}

/// What a client asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// A call that is answered once.
    Call(Call),
    /// A watch.
    Watch {
        /// The watch.
        watch: WatchRequest,
        /// When the client received the revision that the watch begins after, in milliseconds.
        received_ms: u64,
    },
}

/// What a client hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A response.
    Response(Response),
    /// The connection to the machine was lost or refused.
    Disconnected,
    /// Nothing came in time.
    TimedOut,
}

impl Answer {
    /// The outcome, if the call was executed.
    pub fn outcome(&self) -> Option<&Outcome> {
        match self {
            Self::Response(Response::Executed(outcome)) => Some(outcome),
            _ => None,
        }
    }

    /// Whether the answer promises that the call has changed nothing and never will.
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

/// An answer, and when it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// When.
    pub at: Timestamp,
    /// The answer.
    pub answer: Answer,
}

/// A request with its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Who asks.
    pub client: ClientId,
    /// The machine that was asked.
    pub node: NodeIndex,
    /// What is asked.
    pub request: Request,
    /// When.
    pub invoked_at: Timestamp,
    /// The answer; `None` if the client no longer waits, or the simulation has ended.
    pub completion: Option<Completion>,
}

impl Operation {
    /// The outcome, if it was executed, and when the client knew it.
    pub fn outcome(&self) -> Option<(Timestamp, &Outcome)> {
        let completion = self.completion.as_ref()?;
        Some((completion.at, completion.answer.outcome()?))
    }

    /// The command, if it is one.
    pub fn command(&self) -> Option<&Command> {
        match &self.request {
            Request::Call(Call::Command(command)) => Some(command),
            _ => None,
        }
    }

    /// The query, if it is one.
    pub fn query(&self) -> Option<&Query> {
        match &self.request {
            Request::Call(Call::Query(query)) => Some(query),
            _ => None,
        }
    }

    /// The watch, if it is one, and when its client received the revision that it begins after.
    pub fn watch(&self) -> Option<(&WatchRequest, u64)> {
        match &self.request {
            Request::Watch { watch, received_ms } => Some((watch, *received_ms)),
            Request::Call(_) => None,
        }
    }

    /// The response, if there was one.
    pub fn response(&self) -> Option<&Response> {
        match &self.completion.as_ref()?.answer {
            Answer::Response(response) => Some(response),
            Answer::Disconnected | Answer::TimedOut => None,
        }
    }
}

/// A time in which a caller regards a lock as its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseInterval {
    /// The lock.
    pub lock: String,
    /// The caller's name.
    pub owner: String,
    /// The fencing token.
    pub fencing_token: u64,
    /// From when on, in milliseconds.
    pub start_ms: u64,
    /// Until when, in milliseconds, that moment not included.
    pub end_ms: u64,
}

/// A call that has to be answered at the end of a simulation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalCall {
    /// What is asked, as text.
    pub request: String,
    /// When it was answered, in milliseconds.
    pub answered_ms: Option<u64>,
    /// The first answer of a watch that lags behind what was acknowledged.
    pub lagging_watch: Option<LaggingWatch>,
}

/// A watch was answered with events up to a revision, although a greater one was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaggingWatch {
    /// The revision of the answer.
    pub revision: u64,
    /// The revision that was acknowledged.
    pub acknowledged: u64,
}

/// All that clients did.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Their operations, in the order of the calls.
    pub operations: Vec<Operation>,
    /// Their claims on locks.
    pub lease_intervals: Vec<LeaseInterval>,
    /// The calls at the end.
    pub final_calls: Vec<FinalCall>,
    recorded: u64,
}

impl History {
    fn next_timestamp(&mut self, at_ms: u64) -> Timestamp {
        self.recorded += 1;
        let order = self.recorded;
        Timestamp { at_ms, order }
    }

    /// A client calls a machine.
    pub fn call(
        &mut self,
        at_ms: u64,
        client: ClientId,
        node: NodeIndex,
        request: Request,
    ) -> OperationId {
        let invoked_at = self.next_timestamp(at_ms);
        self.operations.push(Operation {
            client,
            node,
            request,
            invoked_at,
            completion: None,
        });
        self.operations.len() - 1
    }

    /// A client gets an answer. Returns whether it is the first one.
    pub fn answer(&mut self, at_ms: u64, operation: OperationId, answer: Answer) -> bool {
        let at = self.next_timestamp(at_ms);
        let completion = &mut self.operations[operation].completion;
        let is_first = completion.is_none();
        completion.get_or_insert(Completion { at, answer });
        is_first
    }

    /// The operations that were executed, with their outcomes and when these were known.
    pub fn executed(&self) -> impl Iterator<Item = (&Operation, Timestamp, &Outcome)> {
        self.operations.iter().filter_map(|operation| {
            let (at, outcome) = operation.outcome()?;
            Some((operation, at, outcome))
        })
    }
}
