//! The state that the configuration's log makes: the configuration in force, what was accepted, the
//! evacuated zones. Control machines and balancers apply the same commands, so they come to the
//! same state.

mod accepted;
mod patch;
mod snapshot;

pub use snapshot::StateError;

use crate::command::{Command, CommandOutcome};
use crate::configuration::Configuration;
use crate::reader::Findings;
use accepted::AcceptedCommands;
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Bytes of a configuration at most, so that a snapshot always fits the disk.
const MAX_DOCUMENT_BYTES: usize = 6 << 20;

/// The state after a number of commands.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    /// The position of the last command in the log.
    pub index: u64,
    /// The configuration in force, as its routing uses it.
    pub configuration: Option<Arc<Configuration>>,
    /// The zones that get no new requests.
    pub evacuated_zones: BTreeSet<String>,
    /// The configuration in force, as the operator wrote it.
    document: Arc<Value>,
    accepted: AcceptedCommands,
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
        match command {
            Command::Put { base, body } => {
                self.change(command.digest(), *base, |_| parse_document(body))
            }
            Command::Patch { base, body } => self.change(command.digest(), *base, |current| {
                patch::apply(current, &parse_document(body)?)
            }),
            Command::Evacuate { zone } => {
                self.evacuated_zones.insert(zone.clone());
                CommandOutcome::Accepted
            }
            Command::EndEvacuation { zone } => {
                self.evacuated_zones.remove(zone);
                CommandOutcome::Accepted
            }
        }
    }

    /// Applies a command unless it is applied already: a balancer may hear of it from several
    /// machines.
    pub fn apply_if_newer(&mut self, index: u64, command: &Command) {
        if index > self.index {
            self.apply(index, command);
        }
    }

    /// Replaces this state by another one if that is newer: what is in force never goes back.
    pub fn replace_if_newer(&mut self, other: Self) {
        if other.index > self.index {
            *self = other;
        }
    }

    /// Puts a changed document in force, unless the command was accepted before or builds on
    /// another version.
    fn change(
        &mut self,
        digest: u128,
        base: u64,
        changed: impl FnOnce(&Value) -> Result<Value, Findings>,
    ) -> CommandOutcome {
        if self.accepted.contains(digest) {
            return CommandOutcome::Accepted;
        }
        let current = self.generation();
        if base != current {
            return CommandOutcome::Conflict { current };
        }
        let checked = changed(&self.document).and_then(|document| self.check(document));
        match checked {
            Ok((document, configuration)) => {
                self.document = Arc::new(document);
                self.configuration = Some(Arc::new(configuration));
                self.accepted.insert(digest);
                CommandOutcome::Accepted
            }
            Err(findings) => CommandOutcome::Invalid {
                findings: findings.to_string(),
            },
        }
    }

    /// A document with the configuration that it holds, if that may follow the one in force.
    fn check(&self, document: Value) -> Result<(Value, Configuration), Findings> {
        let configuration = Configuration::read(&document)?;
        let mut findings = Findings::default();
        let current = self.generation();
        if configuration.generation <= current {
            findings.add(
                "generation",
                format!("must be above the current one, {current}"),
            );
        }
        if serde_json::to_vec(&document).map_or(0, |bytes| bytes.len()) > MAX_DOCUMENT_BYTES {
            findings.add(
                "(document)",
                format!("is larger than {MAX_DOCUMENT_BYTES} bytes"),
            );
        }
        if findings.is_empty() {
            Ok((document, configuration))
        } else {
            Err(findings)
        }
    }
}

fn parse_document(body: &[u8]) -> Result<Value, Findings> {
    serde_json::from_slice(body)
        .map_err(|error| Findings::one("(document)", format!("can't be read: {error}")))
}
