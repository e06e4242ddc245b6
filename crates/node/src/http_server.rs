//! Blocking HTTP server for endpoints with few requests, such as the readiness endpoint.

use crate::error::SetupError;
use rouille::{Request, Response, Server};
use std::io;
use std::net::SocketAddr;
use std::thread;

/// Serves `handler` on `address` in separate threads until the process ends. `workers` sets the
/// number of threads that answer requests; `None` selects the server's default, which depends on
/// the number of cores.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(crate) fn spawn(
    address: SocketAddr,
    workers: Option<usize>,
    handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
) -> Result<(), SetupError> {
    let server = Server::new(address, handler)
        .map_err(|source| io::Error::other(source.to_string()))
        .map_err(SetupError::during(format!("bind the address {address}")))?;
    let server = match workers {
        Some(workers) => server.pool_size(workers),
        None => server,
    };
    thread::spawn(move || server.run());
    Ok(())
}
