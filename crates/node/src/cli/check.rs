//! `woadstall check-system`: validates settings files and configurations.

use crate::settings::NodeSettings;
use std::fmt;
use std::path::{Path, PathBuf};
use thiserror::Error;
use woadstall_control::configuration::Configuration;
use woadstall_control::reader::Findings;

/// Errors of all invalid files, in the order of the command-line arguments.
#[derive(Debug, Error)]
pub(super) struct InvalidFiles(Vec<FileError>);

impl fmt::Display for InvalidFiles {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{error}")?;
        }
        Ok(())
    }
}

/// Reason why a file is invalid.
#[derive(Debug, Error)]
enum FileError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Io {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{path}: {source}")]
    Json {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// The document lacks required fields or has invalid fields.
    #[error("{path}:\n{findings}")]
    Invalid { path: PathBuf, findings: Findings },
}

/// Validates all files.
///
/// # Errors
///
/// Returns the errors of all invalid files.
pub(super) fn run(files: &[PathBuf]) -> Result<(), InvalidFiles> {
    let errors: Vec<FileError> = files
        .iter()
        .filter_map(|file| check_file(file).err())
        .collect();
    if errors.is_empty() {
        Ok(())
    } else {
        Err(InvalidFiles(errors))
    }
}

/// Validates a file. A document with the field `routes` is a configuration; any other document is a
/// settings file.
fn check_file(path: &Path) -> Result<(), FileError> {
    let path = path.to_owned();
    let text = match std::fs::read(&path) {
        Ok(text) => text,
        Err(source) => return Err(FileError::Io { path, source }),
    };
    let document: serde_json::Value = match serde_json::from_slice(&text) {
        Ok(document) => document,
        Err(source) => return Err(FileError::Json { path, source }),
    };
    let result = match document.get("routes") {
        Some(_) => Configuration::read(&document).map(drop),
        None => NodeSettings::from_document(&document).map(drop),
    };
    result.map_err(|findings| FileError::Invalid { path, findings })
}
