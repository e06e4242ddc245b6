//! Answers the platform's question whether clients may come.

use super::{Front, FrontError};
use rouille::{Response, Server};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

/// Serves on an address of its own.
pub(super) fn start(address: SocketAddr, front: Arc<Front>) -> Result<(), FrontError> {
    let server = Server::new(address, move |request| match request.url().as_str() {
        "/v1/readiness" if front.is_ready() => Response::text("ready\n"),
        "/v1/readiness" => Response::text("not ready\n").with_status_code(503),
        _ => Response::text("no such path\n").with_status_code(404),
    });
    let server = server.map_err(|source| FrontError::Io {
        what: format!("address {address}"),
        source: std::io::Error::other(source.to_string()),
    })?;
    thread::spawn(move || server.run());
    Ok(())
}
