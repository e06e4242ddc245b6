//! `woadstall status`: prints the status of a control machine.

use std::io::{self, Write};
use std::time::Duration;
use thiserror::Error;

/// Time within which a control machine must respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Reason why the status can't be printed.
#[derive(Debug, Error)]
pub(super) enum StatusError {
    /// The HTTP request to the machine failed.
    #[error(transparent)]
    Request(#[from] attohttpc::Error),
    /// The response of the machine is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Writing to standard output failed.
    #[error(transparent)]
    Output(#[from] io::Error),
}

/// Requests the status of the control machine at `address` (`ip:port`) and prints it as formatted
/// JSON.
///
/// # Errors
///
/// Fails if the machine does not respond with JSON within [`RESPONSE_TIMEOUT`] or if standard
/// output is closed.
pub(super) fn run(address: &str) -> Result<(), StatusError> {
    let url = format!("http://{address}/v1/status");
    let response = attohttpc::get(url).timeout(RESPONSE_TIMEOUT).send()?;
    let status: serde_json::Value = serde_json::from_str(&response.text()?)?;
    writeln!(io::stdout(), "{}", serde_json::to_string_pretty(&status)?)?;
    Ok(())
}
