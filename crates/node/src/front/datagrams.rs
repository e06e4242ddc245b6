//! What heartbeats and load reports have in common: both go to core machines in datagrams.

use super::state::Front;
use crate::time::{millis, unix_time};
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// A socket for datagrams of this balancer. `None`, and a line in the log, if it can't be bound.
pub(super) async fn bind_socket(front: &Front, purpose: &str) -> Option<UdpSocket> {
    UdpSocket::bind(SocketAddr::new(front.settings.ip, 0))
        .await
        .inspect_err(|error| log::error!("udp_bind_failed purpose={purpose} error={error}"))
        .ok()
}

/// The wall clock in milliseconds: a number that is higher after a restart, as long as the clock is
/// not set back.
pub(super) fn start_number() -> u64 {
    millis(unix_time())
}
