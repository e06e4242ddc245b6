//! Scenario files, and overrides of their keys for a run.

use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use toml::{Table, Value};
use woadstall_emulator::{Scenario, ScenarioError};

/// Number of leading bytes of the SHA-256 hash in a scenario's digest.
const DIGEST_BYTES: usize = 8;

/// Overridden keys and their values, as given on the command line.
pub type Overrides = BTreeMap<String, String>;

/// The reason why a scenario could not be read, or one of its keys could not be overridden.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioFileError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the failed system call.
        source: io::Error,
    },
    /// The scenario is invalid, with or without the overrides.
    #[error("{path}: {source}")]
    Scenario {
        /// Path of the file.
        path: String,
        /// Validation error of the scenario.
        source: ScenarioError,
    },
    /// The file is not valid TOML.
    #[error("{path}: {source}")]
    Syntax {
        /// Path of the file.
        path: String,
        /// Error of the parser.
        source: Box<toml::de::Error>,
    },
    /// The scenario with its overrides could not be serialized as TOML.
    #[error("{path}: {source}")]
    Write {
        /// Path of the file.
        path: String,
        /// Error of the serializer.
        source: toml::ser::Error,
    },
    /// A key could not be overridden.
    #[error("{path}: {key}: {source}")]
    Override {
        /// Path of the file.
        path: String,
        /// The overridden key.
        key: String,
        /// The reason why the key could not be overridden.
        source: OverrideError,
    },
}

/// The reason why a key of a scenario could not be overridden.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// The key is empty, or ends with a dot.
    #[error("no key")]
    Empty,
    /// The key names an entry that the list does not have.
    #[error("`{list}` has {count} entries, and none is `{index}`")]
    NoEntry {
        /// Key of the list.
        list: String,
        /// Number of entries in the list.
        count: usize,
        /// The index in the key.
        index: String,
    },
    /// The key has further segments below a value that is neither a table nor a list.
    #[error("`{key}` holds no further keys")]
    NoTable {
        /// The segment that names the value.
        key: String,
    },
}

/// A scenario as read from a file, without overrides.
pub struct ScenarioFile {
    table: Table,
    path: String,
}

impl ScenarioFile {
    /// Reads and validates a scenario file.
    ///
    /// # Errors
    ///
    /// Returns [`ScenarioFileError::Read`], [`ScenarioFileError::Scenario`] or [`ScenarioFileError::Syntax`].
    pub fn read(path: &Path) -> Result<Self, ScenarioFileError> {
        let name = || path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| ScenarioFileError::Read {
            path: name(),
            source,
        })?;
        Scenario::read(&text).map_err(|source| ScenarioFileError::Scenario {
            path: name(),
            source,
        })?;
        let table = text.parse().map_err(|error| ScenarioFileError::Syntax {
            path: name(),
            source: Box::new(error),
        })?;
        Ok(Self {
            table,
            path: name(),
        })
    }

    /// Returns the scenario with overrides applied, and its digest of 16 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns [`ScenarioFileError::Override`] if a key cannot be overridden, and [`ScenarioFileError::Scenario`] if
    /// the scenario with its overrides is invalid.
    pub fn with(&self, set: &Overrides) -> Result<(Scenario, String), ScenarioFileError> {
        let mut table = self.table.clone();
        for (key, value) in set {
            set_key(&mut table, key, value).map_err(|source| ScenarioFileError::Override {
                path: self.path.clone(),
                key: key.clone(),
                source,
            })?;
        }
        let write_error = |source| ScenarioFileError::Write {
            path: self.path.clone(),
            source,
        };
        let text = toml::to_string(&table).map_err(write_error)?;
        let scenario = Scenario::read(&text).map_err(|source| ScenarioFileError::Scenario {
            path: self.path.clone(),
            source,
        })?;
        // The digest covers the parsed scenario, so that comments and the order of keys do not change the digest.
        let canonical_text = toml::to_string(&scenario).map_err(write_error)?;
        Ok((scenario, digest(&canonical_text)))
    }
}

fn digest(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest
        .iter()
        .take(DIGEST_BYTES)
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Sets a dotted key such as `limits.attempts` or `tier.0.nodos`. Missing tables on the path are created.
fn set_key(table: &mut Table, key: &str, value: &str) -> Result<(), OverrideError> {
    let value = parse_value(value);
    let mut segments: Vec<&str> = key.split('.').collect();
    let last = segments
        .pop()
        .filter(|last| !last.is_empty())
        .ok_or(OverrideError::Empty)?;
    let mut parent = table;
    let mut segments = segments.into_iter().peekable();
    while let Some(segment) = segments.next() {
        let child = parent
            .entry(segment)
            .or_insert_with(|| Value::Table(Table::new()));
        parent = match child {
            Value::Table(table) => table,
            Value::Array(list) => list_entry(list, segment, segments.next().unwrap_or(last))?,
            _ => {
                let key = segment.to_owned();
                return Err(OverrideError::NoTable { key });
            }
        };
    }
    parent.insert(last.to_owned(), value);
    Ok(())
}

/// Parses a TOML value. Text that is not valid TOML becomes a string, so that durations need no quotes.
fn parse_value(text: &str) -> Value {
    let table = format!("value = {text}").parse::<Table>().ok();
    let value = table.and_then(|mut table| table.remove("value"));
    value.unwrap_or_else(|| Value::String(text.to_owned()))
}

fn list_entry<'a>(
    list: &'a mut [Value],
    name: &str,
    index: &str,
) -> Result<&'a mut Table, OverrideError> {
    let count = list.len();
    let position = index.parse::<usize>().ok();
    match position.and_then(|position| list.get_mut(position)) {
        Some(Value::Table(table)) => Ok(table),
        _ => Err(OverrideError::NoEntry {
            list: name.to_owned(),
            count,
            index: index.to_owned(),
        }),
    }
}

#[cfg(test)]
mod tests;
