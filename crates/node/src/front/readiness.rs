//! Readiness endpoint, which the platform probes to learn whether clients may connect.

use super::FrontError;
use super::state::Front;
use crate::http_server;
use rouille::Response;
use std::net::SocketAddr;
use std::sync::Arc;

/// Serves `GET /v1/readiness` on `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(super) fn start(address: SocketAddr, front: Arc<Front>) -> Result<(), FrontError> {
    http_server::spawn(address, None, move |request| match request.url().as_str() {
        "/v1/readiness" if front.is_ready() => Response::text("ready\n"),
        "/v1/readiness" => Response::text("not ready\n").with_status_code(503),
        _ => Response::text("no such path\n").with_status_code(404),
    })?;
    Ok(())
}
