//! Options of TCP connections.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Has the kernel close a connection whose peer no longer responds: one with data unacknowledged
/// for `user_timeout` (`TCP_USER_TIMEOUT`, RFC 5482), or an idle one whose keepalive probes nobody
/// answers.
///
/// # Errors
///
/// The kernel refuses an option.
pub(crate) fn enable_dead_peer_detection(
    stream: &TcpStream,
    user_timeout: Duration,
) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(user_timeout))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}
