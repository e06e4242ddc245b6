//! Scenario files, and the keys in them that a run sets to other values.

use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use toml::{Table, Value};
use woadstall_emulator::{Scenario, ScenarioError};

/// Bytes of the SHA-256 that make a digest.
const DIGEST_BYTES: usize = 8;

/// Keys and the values they are set to, as given.
pub type Overrides = BTreeMap<String, String>;

/// Why a scenario could not be read, or a key in it not be set.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioFileError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The failed system call.
        source: io::Error,
    },
    /// The scenario is not sound, as it stands or with the keys that are set.
    #[error("{path}: {source}")]
    Scenario {
        /// Path of the file.
        path: String,
        /// What is at fault in it.
        source: ScenarioError,
    },
    /// The file is not TOML.
    #[error("{path}: {source}")]
    Syntax {
        /// Path of the file.
        path: String,
        /// What the parser reports.
        source: Box<toml::de::Error>,
    },
    /// The scenario could not be written as TOML again.
    #[error("{path}: {source}")]
    Write {
        /// Path of the file.
        path: String,
        /// What the serializer reports.
        source: toml::ser::Error,
    },
    /// A key could not be set.
    #[error("{path}: {key}: {source}")]
    Override {
        /// Path of the file.
        path: String,
        /// The key.
        key: String,
        /// Why not.
        source: OverrideError,
    },
}

/// Why a key of a scenario could not be set.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// The key is empty, or ends with a dot.
    #[error("no key")]
    Empty,
    /// A list has no such entry.
    #[error("`{list}` has {count} entries, and none is `{index}`")]
    NoEntry {
        /// Key of the list.
        list: String,
        /// Its entries.
        count: usize,
        /// The entry that the key names.
        index: String,
    },
    /// The key goes on below a value that is no table and no list.
    #[error("`{key}` holds no further keys")]
    NoTable {
        /// Key of the value.
        key: String,
    },
}

/// A scenario as a file has it, before anything is set.
pub struct ScenarioFile {
    table: Table,
    path: String,
}

impl ScenarioFile {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// [`ScenarioFileError::Read`], [`ScenarioFileError::Scenario`] or [`ScenarioFileError::Syntax`].
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

    /// The scenario with keys set to other values, and its digest: 16 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// [`ScenarioFileError::Override`], if a key cannot be set; [`ScenarioFileError::Scenario`], if the scenario is
    /// not sound then.
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
        // Of what it means, so that a comment or the order of keys makes no other scenario.
        let meaning = toml::to_string(&scenario).map_err(write_error)?;
        Ok((scenario, digest(&meaning)))
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

/// Sets a key, as in `limits.attempts` or `tier.0.nodos`. Tables on the path are made where they are missing.
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

/// A value that is no TOML stands for itself, so that times need no quotes.
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
