//! What the tasks share that tell control machines something in datagrams.

use super::Front;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;

/// A socket for datagrams of this balancer; none, and a line in the log, where there is none to be had.
pub(super) async fn socket(front: &Front, what_for: &str) -> Option<UdpSocket> {
    let bound = UdpSocket::bind(SocketAddr::new(front.settings.ip, 0)).await;
    bound
        .inspect_err(|error| log::error!("no socket for {what_for}: {error}"))
        .ok()
}

/// The time of day in milliseconds: a number that is higher after a restart, as long as the clock is not set back.
pub(super) fn number_of_start() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
