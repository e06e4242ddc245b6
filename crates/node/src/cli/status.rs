//! `woadstall status`: shows the status of a control machine.

use std::io::{self, Write};
use std::time::Duration;
use thiserror::Error;

/// How long a control machine may take to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// The status can't be shown.
#[derive(Debug, Error)]
pub(super) enum StatusError {
    /// The machine can't be asked.
    #[error(transparent)]
    Request(#[from] attohttpc::Error),
    /// Its response is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Standard output can't be written to.
    #[error(transparent)]
    Output(#[from] io::Error),
}

/// Asks the control machine at `address` (`ip:port`) and prints its response.
///
/// # Errors
///
/// The machine does not respond with JSON within [`RESPONSE_TIMEOUT`], or the output is closed.
pub(super) fn run(address: &str) -> Result<(), StatusError> {
    let url = format!("http://{address}/v1/status");
    let response = attohttpc::get(url).timeout(RESPONSE_TIMEOUT).send()?;
    let status: serde_json::Value = serde_json::from_str(&response.text()?)?;
    writeln!(io::stdout(), "{}", serde_json::to_string_pretty(&status)?)?;
    Ok(())
}
