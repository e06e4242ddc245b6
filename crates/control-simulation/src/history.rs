//! The history of operators' calls, and whether one machine that takes them one after the other could have given the same
//! answers (linearizability). A call without a clear answer may have been taken or not, but only while its caller waited: an
//! order is never taken after its caller was told that nobody can tell.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use woadstall_control::command::Command;
use woadstall_control::machine::CallResponse;

/// How long a caller waits, in milliseconds.
const PATIENCE: u64 = 1_000;
/// Calls that one check can hold.
const MOST_CALLS: usize = 128;

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// A configuration on top of a version; equal digests are the same order.
    Put {
        /// The version that it builds on.
        base: u64,
        /// Its own version.
        generation: u64,
        /// Its identity.
        digest: u128,
    },
    /// Evacuate a zone.
    Evacuate(String),
    /// Take that back.
    Return(String),
    /// Read the configuration.
    Read,
}

impl Call {
    /// The call that an order makes.
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
            Command::EndEvacuation { zone } => Self::Return(zone.clone()),
        }
    }
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The order was taken, now or before.
    Done,
    /// Another version is current.
    Conflict(u64),
    /// The version that was read, and the evacuated zones of the machine that answered.
    Read {
        /// The version.
        generation: u64,
        /// The evacuated zones.
        evacuated: BTreeSet<String>,
    },
    /// Nobody can tell.
    Unclear,
}

impl Reply {
    /// A machine's answer, given in this state.
    pub fn of(answer: &CallResponse, generation: u64, evacuated: BTreeSet<String>) -> Self {
        match answer {
            CallResponse::Acknowledged => Self::Done,
            CallResponse::Conflict { current } => Self::Conflict(*current),
            CallResponse::Document(_) => Self::Read {
                generation,
                evacuated,
            },
            CallResponse::Invalid { .. } | CallResponse::Indeterminate => Self::Unclear,
        }
    }
}

/// A call with its answer.
#[derive(Clone, Debug)]
struct Operation {
    call: Call,
    began: u64,
    /// When it was answered, or its caller gave up.
    ended: u64,
    reply: Reply,
}

/// All calls.
#[derive(Clone, Debug, Default)]
pub struct History {
    open: BTreeMap<u64, (u64, Call)>,
    operations: Vec<Operation>,
}

/// What one machine would hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Model {
    generation: u64,
    evacuated: BTreeSet<String>,
    accepted: BTreeSet<u128>,
}

impl Model {
    /// The state after a call, if it would be answered so.
    fn after(&self, operation: &Operation) -> Option<Self> {
        let mut next = self.clone();
        let answered = match &operation.call {
            Call::Put {
                base,
                generation,
                digest,
            } => {
                if next.accepted.contains(digest) {
                    Reply::Done
                } else if *base == next.generation {
                    next.generation = *generation;
                    next.accepted.insert(*digest);
                    Reply::Done
                } else {
                    Reply::Conflict(next.generation)
                }
            }
            Call::Evacuate(zone) => {
                next.evacuated.insert(zone.clone());
                Reply::Done
            }
            Call::Return(zone) => {
                next.evacuated.remove(zone);
                Reply::Done
            }
            Call::Read => Reply::Read {
                generation: next.generation,
                evacuated: next.evacuated.clone(),
            },
        };
        (operation.reply == Reply::Unclear || operation.reply == answered).then_some(next)
    }
}

impl History {
    /// A call begins.
    pub fn begin(&mut self, token: u64, now: u64, call: Call) {
        self.open.insert(token, (now, call));
    }

    /// The call under a token, as long as it is not answered.
    pub fn call(&self, token: u64) -> Option<&Call> {
        self.open.get(&token).map(|(_, call)| call)
    }

    /// A call is answered.
    pub fn end(&mut self, token: u64, now: u64, reply: Reply) {
        if let Some((began, call)) = self.open.remove(&token) {
            self.operations.push(Operation {
                call,
                began,
                ended: now,
                reply,
            });
        }
    }

    /// The number of calls that were answered.
    pub fn answered(&self) -> usize {
        self.operations.len()
    }

    /// Whether the calls so far can have been taken one after the other.
    pub fn check(&self) -> Result<(), String> {
        let given_up = self.open.values().map(|(began, call)| Operation {
            call: call.clone(),
            began: *began,
            ended: began + PATIENCE,
            reply: Reply::Unclear,
        });
        let mut operations: Vec<Operation> =
            self.operations.iter().cloned().chain(given_up).collect();
        operations.sort_by_key(|operation| (operation.began, operation.ended));
        // A read that gave nothing says nothing.
        operations
            .retain(|operation| operation.call != Call::Read || operation.reply != Reply::Unclear);
        let mut starts = BTreeSet::from([Model::default()]);
        for part in parts(operations) {
            let ends: BTreeSet<Model> =
                starts.iter().flat_map(|start| ends(&part, start)).collect();
            if ends.is_empty() {
                let calls: Vec<String> = part
                    .iter()
                    .map(|operation| format!("{operation:?}"))
                    .collect();
                return Err(format!(
                    "no order of these calls gives their answers:\n{}",
                    calls.join("\n")
                ));
            }
            starts = ends;
        }
        Ok(())
    }
}

/// Divides calls where none of the earlier ones is open any more when the later ones begin.
fn parts(operations: Vec<Operation>) -> Vec<Vec<Operation>> {
    let mut parts: Vec<Vec<Operation>> = Vec::new();
    let mut open_until = 0;
    for operation in operations {
        let is_apart = operation.began > open_until;
        open_until = open_until.max(operation.ended);
        match parts.last_mut() {
            Some(part) if !is_apart => part.push(operation),
            _ => parts.push(vec![operation]),
        }
    }
    parts
}

/// All states in which the calls can end, beginning with this one.
fn ends(operations: &[Operation], start: &Model) -> Vec<Model> {
    assert!(
        operations.len() <= MOST_CALLS,
        "{} calls at a time can't be checked",
        operations.len()
    );
    let all = if operations.len() == MOST_CALLS {
        u128::MAX
    } else {
        (1 << operations.len()) - 1
    };
    let mut seen: HashSet<(u128, Model)> = HashSet::new();
    let mut stack = vec![(0u128, start.clone())];
    let mut ends = Vec::new();
    while let Some((taken, model)) = stack.pop() {
        if !seen.insert((taken, model.clone())) {
            continue;
        }
        if taken == all {
            ends.push(model);
            continue;
        }
        let is_left = |number: usize| taken >> number & 1 == 0;
        let left = || {
            operations
                .iter()
                .enumerate()
                .filter(|(number, _)| is_left(*number))
        };
        let first_end = left()
            .map(|(_, operation)| operation.ended)
            .min()
            .unwrap_or(u64::MAX);
        for (number, operation) in left().filter(|(_, operation)| operation.began <= first_end) {
            let with = taken | 1 << number;
            stack.extend(model.after(operation).map(|next| (with, next)));
            if operation.reply == Reply::Unclear {
                stack.push((with, model.clone()));
            }
        }
    }
    ends
}

#[cfg(test)]
#[path = "../tests/unit/history.rs"]
mod tests;
