//! Checks files before they are used.

use crate::net::config::Config;
use crate::net::instances;
use std::io::{Read, Write};
use std::path::Path;
use std::process::ExitCode;
use woadstall_operator_config::MAX_FILE_BYTES;

/// Checks each file and writes a line on it; failure if any has a fault.
pub fn files(files: &[impl AsRef<Path>], out: &mut impl Write) -> ExitCode {
    let mut sound = true;
    for path in files.iter().map(AsRef::as_ref) {
        let outcome = file(path);
        sound &= outcome.is_ok();
        let verdict = outcome.err().unwrap_or_else(|| "sound".into());
        writeln!(out, "{}: {verdict}", path.display()).ok();
    }
    if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Checks one file, by its ending. The error is one line that names the field at fault.
pub fn file(path: &Path) -> Result<(), String> {
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(|error| error.to_string())?;
    // A configuration holds a list of upstreams, and may be larger than an operator file.
    let most = 16 * MAX_FILE_BYTES as u64;
    file.take(most + 1)
        .read_to_string(&mut text)
        .map_err(|error| error.to_string())?;
    if text.len() as u64 > most {
        return Err(format!("the file is over {most} bytes"));
    }
    match path.extension().and_then(|ending| ending.to_str()) {
        Some("json") => Config::parse(&text, None, None).map(|_| ()),
        Some("toml") => instances::check(path),
        _ => Err("neither a configuration (`.json`) nor an operator file (`.toml`)".into()),
    }
}
