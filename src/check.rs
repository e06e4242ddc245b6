//! Validates configurations and operator files without starting the daemon.

use crate::net::config::{Config, ConfigError};
use crate::net::operator_file::{OperatorFile, OperatorFileError};
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::Path;
use std::process::ExitCode;
use woadstall_operator_config::MAX_FILE_BYTES;

/// Maximum size of a checked file, in bytes. A configuration contains a list of endpoints and may therefore be larger
/// than an operator file.
const MAX_CHECKED_BYTES: u64 = 16 * MAX_FILE_BYTES as u64;

/// The error of an invalid file. The message is a single line that names the field.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file exceeds the maximum size.
    #[error("the file is over {MAX_CHECKED_BYTES} bytes")]
    TooLarge,
    /// The file is an invalid configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The file is an invalid operator file.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The file name ends neither in `.json` nor in `.toml`.
    #[error("neither a configuration (`.json`) nor an operator file (`.toml`)")]
    UnknownKind,
}

/// Checks each file and writes one line per file to `out`. Returns failure if any file is invalid.
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

/// Checks one file. The file name extension determines the kind of file.
///
/// # Errors
///
/// Fails if the file cannot be read, is too large, has an unknown extension or is invalid.
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
