//! Blocking HTTP servers for calls that are few: the operator's API and the readiness endpoint.

use crate::error::SetupError;
use rouille::{Request, Response, Server};
use std::io;
use std::net::SocketAddr;
use std::thread;

/// Serves `handler` on `address` in threads of its own until the process ends. `workers` threads
/// answer requests; where it is `None`, the server's default, which depends on the number of cores.
///
/// # Errors
///
/// The address can't be bound.
pub(crate) fn spawn(
    address: SocketAddr,
    workers: Option<usize>,
    handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
) -> Result<(), SetupError> {
    let server = Server::new(address, handler)
        .map_err(|source| io::Error::other(source.to_string()))
        .map_err(SetupError::during(format!("address {address}")))?;
    let server = match workers {
        Some(workers) => server.pool_size(workers),
        None => server,
    };
    thread::spawn(move || server.run());
    Ok(())
}
