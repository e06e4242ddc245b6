//! The state that results from applying the configuration log: the configuration in force, recently
//! accepted commands, and the evacuated zones. Control machines and balancers apply the same
//! commands and therefore reach the same state.

mod accepted;
mod document;
mod patch;
mod snapshot;

pub use snapshot::StateError;

use crate::command::{Command, CommandOutcome};
use crate::configuration::Configuration;
use crate::reader::Findings;
use accepted::AcceptedCommands;
use document::Document;
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The maximum size of a configuration in bytes, which ensures that a snapshot always fits the
/// disk.
const MAX_DOCUMENT_BYTES: usize = 6 << 20;

/// The state after a prefix of the configuration log.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    /// The log index of the last applied command.
    pub index: u64,
    /// The configuration in force in the form used for routing; `None` before the first one is
    /// accepted.
    pub configuration: Option<Arc<Configuration>>,
    /// The evacuated zones, whose upstreams get no new requests.
    pub evacuated_zones: BTreeSet<String>,
    /// The configuration in force as the operator wrote it, including unknown fields.
    document: Arc<Document>,
    accepted: AcceptedCommands,
}

impl ControlState {
    /// Returns the configuration document that operators read back, as JSON; `null` if there is no
    /// configuration.
    pub fn document(&self) -> String {
        match self.configuration {
            Some(_) => self.document.to_json(),
            None => Value::Null.to_string(),
        }
    }

    /// Returns the generation of the configuration in force, or 0 if there is none.
    pub fn generation(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.generation)
    }

    /// Applies the command at a log index.
    pub fn apply(&mut self, index: u64, command: &Command) -> CommandOutcome {
        self.index = index;
        match command {
            Command::Put { base, body } => {
                self.change(command.digest(), *base, |_| read_document(body))
            }
            Command::Patch { base, body } => self.change(command.digest(), *base, |current| {
                let (change, text) = parse(body)?;
                patch::apply(current, &change, text)
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

    /// Applies a command unless its log index has already been applied. A balancer may receive the
    /// same command from several machines.
    pub fn apply_if_newer(&mut self, index: u64, command: &Command) {
        if index > self.index {
            self.apply(index, command);
        }
    }

    /// Replaces this state by another one if that is newer, so that the state in force never
    /// regresses.
    pub fn replace_if_newer(&mut self, other: Self) {
        if other.index > self.index {
            *self = other;
        }
    }

    /// Puts a changed document in force, unless the command has been accepted before, is based on
    /// another generation, or results in an invalid configuration.
    fn change(
        &mut self,
        digest: u128,
        base: u64,
        changed: impl FnOnce(&Document) -> Result<Document, Findings>,
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

    /// Parses a document and checks that it may follow the configuration in force.
    fn check(&self, document: Document) -> Result<(Document, Configuration), Findings> {
        let json = document.to_json();
        let value = serde_json::from_str(&json).map_err(unreadable)?;
        let configuration = Configuration::read(&value)?;
        let mut findings = Findings::default();
        let current = self.generation();
        if configuration.generation <= current {
            findings.add(
                "generation",
                format!("must be above the current one, {current}"),
            );
        }
        if json.len() > MAX_DOCUMENT_BYTES {
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

/// Reads a whole configuration document.
fn read_document(body: &[u8]) -> Result<Document, Findings> {
    let (value, text) = parse(body)?;
    if !value.is_object() {
        return Err(Findings::one("(document)", "must be an object"));
    }
    Document::parse(text).map_err(unreadable)
}

/// Parses JSON, and returns its value and its text.
fn parse(body: &[u8]) -> Result<(Value, &str), Findings> {
    let value = serde_json::from_slice(body).map_err(unreadable)?;
    let text = std::str::from_utf8(body).map_err(unreadable)?;
    Ok((value, text))
}

/// Returns the finding for a document that cannot be parsed.
fn unreadable(error: impl std::fmt::Display) -> Findings {
    Findings::one("(document)", format!("can't be read: {error}"))
}
