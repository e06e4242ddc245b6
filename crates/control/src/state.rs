//! The state machine of the configuration's log: the current configuration, what was accepted, evacuated zones.
//! Replicas of the control plane and balancers fold the same commands, so they come to the same state.

use crate::command::{Command, CommandOutcome};
use crate::configuration::Configuration;
use crate::reader::Findings;
use nanoserde::{DeBin, SerBin};
use serde_json::{Map, Value};
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::sync::Arc;
use thiserror::Error;

/// Accepted orders that are remembered, so that one sent again is acknowledged again. At 2,000 changes a day this is more
/// than a week; it takes 16 bytes each.
const REMEMBERED: usize = 20_000;
/// Bytes of a configuration at most, so that a checkpoint always fits the disk.
const MOST_BYTES: usize = 6 << 20;

/// The fields of a configuration that are lists of named items.
const LISTS: [&str; 2] = ["routes", "services"];

/// The state after a number of commands.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    /// The position of the last command in the log.
    pub index: u64,
    /// The configuration in force, as its routing uses it.
    pub configuration: Option<Arc<Configuration>>,
    /// The zones that get nothing.
    pub evacuated: BTreeSet<String>,
    document: Arc<Value>,
    accepted: VecDeque<u128>,
    accepted_set: HashSet<u128>,
}

/// A state as bytes can't be read.
#[derive(Debug, Error)]
pub enum StateError {
    /// The bytes are damaged or of another version.
    #[error("the state can't be decoded: {0}")]
    Encoding(String),
    /// The configuration in it does not check.
    #[error("the configuration in the state is invalid: {0}")]
    Invalid(Findings),
}

/// How the state stands in snapshots.
#[derive(SerBin, DeBin)]
struct Encoded {
    index: u64,
    document: Vec<u8>,
    evacuated: Vec<String>,
    accepted: Vec<u128Parts>,
}

#[derive(SerBin, DeBin)]
#[allow(non_camel_case_types, reason = "two halves of a primitive")]
struct u128Parts {
    high: u64,
    low: u64,
}

impl ControlState {
    /// The configuration as the operator reads it back.
    pub fn document(&self) -> &Value {
        &self.document
    }

    /// The version in force, or 0.
    pub fn generation(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.generation)
    }

    /// Applies a command at a position of the log.
    pub fn apply(&mut self, index: u64, command: &Command) -> CommandOutcome {
        self.index = index;
        let digest = command.is_change().then(|| command.digest());
        match self.prepare(command, digest) {
            Ok(Change::Nothing) => return CommandOutcome::Accepted,
            Ok(Change::Document(document, configuration)) => {
                self.document = Arc::new(document);
                self.configuration = Some(Arc::new(configuration));
            }
            Ok(Change::Evacuate(zone)) => drop(self.evacuated.insert(zone)),
            Ok(Change::Return(zone)) => drop(self.evacuated.remove(&zone)),
            Err(outcome) => return outcome,
        }
        if let Some(digest) = digest {
            self.remember(digest);
        }
        CommandOutcome::Accepted
    }

    /// Applies a command unless it is applied already: a balancer may hear of it from several machines.
    pub fn apply_if_newer(&mut self, index: u64, command: &Command) {
        if index > self.index {
            self.apply(index, command);
        }
    }

    /// Takes another state over if it is newer: what is in force never goes back.
    pub fn replace_if_newer(&mut self, other: Self) {
        if other.index > self.index {
            *self = other;
        }
    }

    /// The state as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let accepted = self.accepted.iter();
        let encoded = Encoded {
            index: self.index,
            document: if self.configuration.is_some() {
                serde_json::to_vec(&*self.document).unwrap_or_default()
            } else {
                Vec::new()
            },
            evacuated: self.evacuated.iter().cloned().collect(),
            accepted: accepted
                .map(|d| u128Parts {
                    high: (d >> 64) as u64,
                    low: *d as u64,
                })
                .collect(),
        };
        encoded.serialize_bin()
    }

    /// The state from its bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        let encoding = |error: String| StateError::Encoding(error);
        let encoded =
            Encoded::deserialize_bin(bytes).map_err(|error| encoding(error.to_string()))?;
        let mut state = Self {
            index: encoded.index,
            ..Self::default()
        };
        if !encoded.document.is_empty() {
            let document = serde_json::from_slice(&encoded.document);
            let document: Value = document.map_err(|error| encoding(error.to_string()))?;
            let configuration = Configuration::read(&document).map_err(StateError::Invalid)?;
            state.configuration = Some(Arc::new(configuration));
            state.document = Arc::new(document);
        }
        state.evacuated = encoded.evacuated.into_iter().collect();
        for digest in encoded.accepted {
            state.remember(u128::from(digest.high) << 64 | u128::from(digest.low));
        }
        Ok(state)
    }

    fn remember(&mut self, digest: u128) {
        if self.accepted_set.insert(digest) {
            self.accepted.push_back(digest);
        }
        while self.accepted.len() > REMEMBERED {
            if let Some(oldest) = self.accepted.pop_front() {
                self.accepted_set.remove(&oldest);
            }
        }
    }

    /// What a command changes; a change of the configuration comes with its digest.
    fn prepare(&self, command: &Command, digest: Option<u128>) -> Result<Change, CommandOutcome> {
        match command {
            Command::Evacuate { zone } => Ok(Change::Evacuate(zone.clone())),
            Command::EndEvacuation { zone } => Ok(Change::Return(zone.clone())),
            Command::Put { base, body } | Command::Patch { base, body } => {
                if digest.is_some_and(|digest| self.accepted_set.contains(&digest)) {
                    return Ok(Change::Nothing);
                }
                let current = self.generation();
                if *base != current {
                    return Err(CommandOutcome::Conflict { current });
                }
                let is_patch = matches!(command, Command::Patch { .. });
                self.next(is_patch, body)
                    .map_err(|findings| CommandOutcome::Invalid {
                        findings: findings.to_string(),
                    })
            }
        }
    }

    fn next(&self, is_patch: bool, body: &[u8]) -> Result<Change, Findings> {
        let findings = &mut Findings::default();
        let body = match serde_json::from_slice::<Value>(body) {
            Ok(body) => body,
            Err(error) => {
                findings.add("(document)", format!("can't be read: {error}"));
                return Err(std::mem::take(findings));
            }
        };
        let document = if is_patch {
            patched(&self.document, &body, findings)
        } else {
            body
        };
        if !findings.is_empty() {
            return Err(std::mem::take(findings));
        }
        let configuration = Configuration::read(&document)?;
        let current = self.generation();
        if configuration.generation <= current {
            findings.add(
                "generation",
                format!("must be above the current one, {current}"),
            );
        }
        if serde_json::to_vec(&document).map_or(0, |bytes| bytes.len()) > MOST_BYTES {
            findings.add("(document)", format!("is larger than {MOST_BYTES} bytes"));
        }
        if findings.is_empty() {
            Ok(Change::Document(document, configuration))
        } else {
            Err(std::mem::take(findings))
        }
    }
}

enum Change {
    Nothing,
    Document(Value, Configuration),
    Evacuate(String),
    Return(String),
}

/// The document with the named items of a change.
fn patched(document: &Value, change: &Value, findings: &mut Findings) -> Value {
    let mut fields: Map<String, Value> = document.as_object().cloned().unwrap_or_default();
    let Some(change) = change.as_object() else {
        findings.add("(document)", "must be an object");
        return Value::Null;
    };
    for (name, value) in change {
        match name.as_str() {
            "upsert" | "delete" => {}
            _ => drop(fields.insert(name.clone(), value.clone())),
        }
    }
    for (operation, is_delete) in [("delete", true), ("upsert", false)] {
        let lists = match change.get(operation) {
            None | Some(Value::Null) => continue,
            Some(Value::Object(lists)) => lists,
            Some(_) => {
                findings.add(operation, "must be an object");
                continue;
            }
        };
        for (list, items) in lists {
            let place = format!("{operation}.{list}");
            let (true, Some(items)) = (LISTS.contains(&list.as_str()), items.as_array()) else {
                findings.add(place, "must be a list of routes or services");
                continue;
            };
            let present = fields
                .entry(list.clone())
                .or_insert_with(|| Value::Array(Vec::new()));
            let Some(present) = present.as_array_mut() else {
                continue;
            };
            for (position, item) in items.iter().enumerate() {
                let name = if is_delete {
                    item.as_str()
                } else {
                    item.get("name").and_then(Value::as_str)
                };
                let Some(name) = name else {
                    findings.add(format!("{place}[{position}]"), "has no name");
                    continue;
                };
                let at = present
                    .iter()
                    .position(|old| old.get("name").and_then(Value::as_str) == Some(name));
                match (is_delete, at) {
                    (true, Some(at)) => drop(present.remove(at)),
                    (true, None) => {}
                    (false, Some(at)) => present[at] = item.clone(),
                    (false, None) => present.push(item.clone()),
                }
            }
        }
    }
    Value::Object(fields)
}
