//! The history of operators' operations on the cluster, and the check that it is linearizable.

mod linearizability;
mod model;

pub use linearizability::NotLinearizable;

use linearizability::check;
use std::collections::{BTreeMap, BTreeSet};
use woadstall_control::command::Command;
use woadstall_control::machine::CallResponse;

/// How long a client waits for a response, in milliseconds. A command without a response takes
/// effect within that time or never.
pub const CLIENT_TIMEOUT_MS: u64 = 1_000;

/// What an operation asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Put a configuration on top of a generation.
    Put {
        /// The generation that it builds on.
        base: u64,
        /// Its own generation.
        generation: u64,
        /// Its identity: commands with the same digest are the same command.
        digest: u128,
    },
    /// Evacuate a zone.
    Evacuate(String),
    /// End the evacuation of a zone.
    EndEvacuation(String),
    /// Read the configuration.
    Read,
}

impl Input {
    /// The operation that submits a command.
    pub fn of(command: &Command) -> Self {
        match command {
            Command::Put { base, body } | Command::Patch { base, body } => {
                let document: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
                let generation = document["generation"].as_u64().unwrap_or_default();
                Self::Put {
                    base: *base,
                    generation,
                    digest: command.digest(),
                }
            }
            Command::Evacuate { zone } => Self::Evacuate(zone.clone()),
            Command::EndEvacuation { zone } => Self::EndEvacuation(zone.clone()),
        }
    }
}

/// What came of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The command is committed, now or before.
    Committed,
    /// Another generation is current.
    Conflict(u64),
    /// The configuration was read.
    Read {
        /// Its generation.
        generation: u64,
        /// The evacuated zones at the process that answered.
        evacuated: BTreeSet<String>,
    },
    /// The operation may have taken effect or not.
    Unknown,
}

impl Output {
    /// The output of a response, given by a process in this state.
    pub fn of(response: &CallResponse, generation: u64, evacuated: BTreeSet<String>) -> Self {
        match response {
            CallResponse::Acknowledged => Self::Committed,
            CallResponse::Conflict { current } => Self::Conflict(*current),
            CallResponse::Document(_) => Self::Read {
                generation,
                evacuated,
            },
            CallResponse::Invalid { .. } | CallResponse::Indeterminate => Self::Unknown,
        }
    }
}

/// An operation with its times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// What it asked for.
    pub input: Input,
    /// When it was invoked.
    pub invoked_ms: u64,
    /// When it returned, or its client timed out.
    pub returned_ms: u64,
    /// What came of it.
    pub output: Output,
}

impl Operation {
    /// A read without a response constrains nothing.
    fn is_vacuous(&self) -> bool {
        self.input == Input::Read && self.output == Output::Unknown
    }
}

/// An operation without a response so far.
#[derive(Clone, Debug)]
struct PendingOperation {
    input: Input,
    invoked_ms: u64,
}

impl PendingOperation {
    /// The operation as it is once its client has timed out.
    fn timed_out(&self) -> Operation {
        Operation {
            input: self.input.clone(),
            invoked_ms: self.invoked_ms,
            returned_ms: self.invoked_ms + CLIENT_TIMEOUT_MS,
            output: Output::Unknown,
        }
    }
}

/// All operations of a simulation.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// By the token of the request.
    pending: BTreeMap<u64, PendingOperation>,
    completed: Vec<Operation>,
}

impl History {
    /// An operation is invoked.
    pub fn invoke(&mut self, token: u64, now_ms: u64, input: Input) {
        self.pending.insert(
            token,
            PendingOperation {
                input,
                invoked_ms: now_ms,
            },
        );
    }

    /// The input of an operation that has not returned.
    pub fn pending(&self, token: u64) -> Option<&Input> {
        self.pending.get(&token).map(|operation| &operation.input)
    }

    /// An operation returns. Tokens that are not pending are ignored.
    pub fn complete(&mut self, token: u64, now_ms: u64, output: Output) {
        if let Some(PendingOperation { input, invoked_ms }) = self.pending.remove(&token) {
            self.completed.push(Operation {
                input,
                invoked_ms,
                returned_ms: now_ms,
                output,
            });
        }
    }

    /// The number of operations that have returned.
    pub fn completed(&self) -> usize {
        self.completed.len()
    }

    /// Checks that the operations so far are linearizable.
    ///
    /// # Errors
    ///
    /// If no order of some concurrent operations explains their outputs.
    ///
    /// # Panics
    ///
    /// If more operations are concurrent than one search supports.
    pub fn check(&self) -> Result<(), NotLinearizable> {
        let timed_out = self.pending.values().map(PendingOperation::timed_out);
        let mut operations: Vec<Operation> =
            self.completed.iter().cloned().chain(timed_out).collect();
        operations.sort_by_key(|operation| (operation.invoked_ms, operation.returned_ms));
        operations.retain(|operation| !operation.is_vacuous());
        check(operations)
    }
}
