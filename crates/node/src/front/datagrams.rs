//! Datagram socket and sequence numbers used by heartbeats and load reports.

use super::state::Front;
use crate::time::{millis, unix_time};
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Binds a UDP socket on the address of this machine. Logs the error and returns `None` on failure.
pub(super) async fn bind_socket(front: &Front, purpose: &str) -> Option<UdpSocket> {
    UdpSocket::bind(SocketAddr::new(front.settings.ip, 0))
        .await
        .inspect_err(|error| log::error!("udp_bind_failed purpose={purpose} error={error}"))
        .ok()
}

/// Returns the wall clock in milliseconds as a number that increases with every restart of the
/// process, unless the clock is set back.
pub(super) fn startup_timestamp_ms() -> u64 {
    millis(unix_time())
}
