//! The history of operators' operations on the cluster, with a linearizability check.

mod linearizability;
mod model;

pub use linearizability::NotLinearizable;

use linearizability::check;
use std::collections::{BTreeMap, BTreeSet};
use woadstall_control::command::Command;
use woadstall_control::machine::CallResponse;

/// How long a client waits for a response, in milliseconds. A command without a response takes
/// effect within this time or never.
pub const CLIENT_TIMEOUT_MS: u64 = 1_000;

/// The request of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Replace the configuration of a generation by a new one.
    Put {
        /// Generation that must be active for the put to succeed.
        base: u64,
        /// Generation of the new configuration.
        generation: u64,
        /// Digest of the command; commands with the same digest are retries of one command.
        digest: u128,
    },
    /// Evacuate the zone with this name.
    Evacuate(String),
    /// End the evacuation of the zone with this name.
    EndEvacuation(String),
    /// Read the configuration and the evacuated zones.
    Read,
}

impl Input {
    /// The request that submits a command.
    pub fn from_command(command: &Command) -> Self {
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

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The command is committed, by this operation or an earlier attempt.
    Committed,
    /// The command was rejected because this other generation is active.
    Conflict(u64),
    /// The configuration was read.
    Read {
        /// Generation of the configuration.
        generation: u64,
        /// Evacuated zones in the state of the process that responded.
        evacuated: BTreeSet<String>,
    },
    /// It is unknown whether the operation took effect.
    Unknown,
}

impl Output {
    /// The output for a response of a process with this generation and these evacuated zones.
    pub fn from_response(
        response: &CallResponse,
        generation: u64,
        evacuated: BTreeSet<String>,
    ) -> Self {
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

/// A completed operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Request of the operation.
    pub input: Input,
    /// When the client sent the request, in milliseconds.
    pub invoked_ms: u64,
    /// When the response was sent or the client timed out, in milliseconds.
    pub returned_ms: u64,
    /// Result of the operation.
    pub output: Output,
}

impl Operation {
    /// Whether the operation is a read without a response, which the check can ignore.
    fn is_irrelevant(&self) -> bool {
        self.input == Input::Read && self.output == Output::Unknown
    }
}

/// An operation that waits for its response.
#[derive(Clone, Debug)]
struct PendingOperation {
    input: Input,
    invoked_ms: u64,
}

impl PendingOperation {
    /// The completed operation for the case that the client times out.
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
    /// Operations without a response, by the token of the request.
    pending: BTreeMap<u64, PendingOperation>,
    completed: Vec<Operation>,
}

impl History {
    /// Records the invocation of an operation.
    pub fn invoke(&mut self, token: u64, now_ms: u64, input: Input) {
        self.pending.insert(
            token,
            PendingOperation {
                input,
                invoked_ms: now_ms,
            },
        );
    }

    /// The input of a pending operation; `None` if no operation with this token is pending.
    pub fn pending_input(&self, token: u64) -> Option<&Input> {
        self.pending.get(&token).map(|operation| &operation.input)
    }

    /// Records the return of an operation. Ignores tokens of operations that are not pending.
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

    /// Number of operations that have returned.
    pub fn completed_count(&self) -> usize {
        self.completed.len()
    }

    /// Checks that the recorded operations are linearizable. Pending operations count as timed out.
    ///
    /// # Errors
    ///
    /// Returns the first group of concurrent operations whose outputs no sequential order explains.
    ///
    /// # Panics
    ///
    /// If a group has more concurrent operations than the search supports.
    pub fn check(&self) -> Result<(), NotLinearizable> {
        let timed_out = self.pending.values().map(PendingOperation::timed_out);
        let mut operations: Vec<Operation> =
            self.completed.iter().cloned().chain(timed_out).collect();
        operations.sort_by_key(|operation| (operation.invoked_ms, operation.returned_ms));
        operations.retain(|operation| !operation.is_irrelevant());
        check(operations)
    }
}
