//! Checks files before they are used.

use crate::net::config::{Config, ConfigError};
use crate::net::operator_file::{OperatorFile, OperatorFileError};
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::Path;
use std::process::ExitCode;
use woadstall_operator_config::MAX_FILE_BYTES;

/// Largest file that is checked, in bytes. A configuration has a list of endpoints, and may be larger than an operators'
/// file.
const MAX_CHECKED_BYTES: u64 = 16 * MAX_FILE_BYTES as u64;

/// What is wrong with a file, in one line that names the field.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// It cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// It is too large.
    #[error("the file is over {MAX_CHECKED_BYTES} bytes")]
    TooLarge,
    /// It is a configuration that is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// It is an operators' file that is not valid.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// Its ending is that of neither.
    #[error("neither a configuration (`.json`) nor an operator file (`.toml`)")]
    UnknownKind,
}

/// Checks each file and writes a line on it; fails if any is not valid.
pub fn check_files(files: &[impl AsRef<Path>], out: &mut impl Write) -> ExitCode {
    let mut are_valid = true;
    for path in files.iter().map(AsRef::as_ref) {
        let finding = match check_file(path) {
            Ok(()) => "sound".to_owned(),
            Err(error) => {
                are_valid = false;
                error.to_string()
            }
        };
        writeln!(out, "{}: {finding}", path.display()).ok();
    }
    if are_valid {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Checks one file, by its ending.
///
/// # Errors
///
/// Fails if the file cannot be read, is of no known kind, or is not valid.
pub fn check_file(path: &Path) -> Result<(), CheckError> {
    let mut text = String::new();
    File::open(path)?
        .take(MAX_CHECKED_BYTES + 1)
        .read_to_string(&mut text)?;
    if text.len() as u64 > MAX_CHECKED_BYTES {
        return Err(CheckError::TooLarge);
    }
    match path.extension().and_then(|extension| extension.to_str()) {
        Some("json") => drop(Config::parse(&text, None, None)?),
        Some("toml") => OperatorFile::check(path)?,
        _ => return Err(CheckError::UnknownKind),
    }
    Ok(())
}
