//! Best-effort socket options.
//!
//! These options reduce latency, buffer bursts, detect dead peers sooner, or let a listener share or reuse its address.
//! A refused option is no reason to close a connection or to abort a start: the socket is used without the option, the
//! failure is counted ([`failures`]), and the first failure of each option is logged as
//! `socket_option_failed option=… error=…`.
//!
//! Two mandatory options are set elsewhere, by callers that return the error: non-blocking mode, without which a socket
//! would block its runtime, and a linger time of zero, without which a truncated response would look complete.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A best-effort socket option.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketOption {
    /// `TCP_NODELAY`. Without it, small writes may wait for the acknowledgement of earlier ones.
    NoDelay,
    /// `SO_RCVBUF`. Without it, more datagrams of a burst are dropped.
    ReceiveBuffer,
    /// `SO_REUSEADDR`. Without it, a recently used address cannot be bound; `bind` reports that error.
    ReuseAddress,
    /// `SO_REUSEPORT`. Without it, a successor process cannot listen on the same address during a hot restart.
    ReusePort,
    /// `TCP_USER_TIMEOUT` (RFC 5482). Without it, a dead peer is detected only by the time limits of calls.
    UserTimeout,
    /// `SO_KEEPALIVE` and the probe intervals. Without them, an idle connection to a dead peer stays open.
    Keepalive,
}

impl SocketOption {
    /// All options, in the order of declaration.
    pub const ALL: [Self; 6] = [
        Self::NoDelay,
        Self::ReceiveBuffer,
        Self::ReuseAddress,
        Self::ReusePort,
        Self::UserTimeout,
        Self::Keepalive,
    ];

    /// The option's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoDelay => "nodelay",
            Self::ReceiveBuffer => "receive_buffer",
            Self::ReuseAddress => "reuse_address",
            Self::ReusePort => "reuse_port",
            Self::UserTimeout => "user_timeout",
            Self::Keepalive => "keepalive",
        }
    }
}

/// Number of failures of each option in this process.
static FAILURES: [AtomicU64; SocketOption::ALL.len()] =
    [const { AtomicU64::new(0) }; SocketOption::ALL.len()];

/// Returns how often setting the option has failed since the start of this process.
pub fn failures(option: SocketOption) -> u64 {
    FAILURES[option as usize].load(Ordering::Relaxed)
}

/// Counts the failure if `result` is an error, and logs the first failure of the option.
fn count_failure(option: SocketOption, result: io::Result<()>) {
    let Err(error) = result else {
        return;
    };
    if FAILURES[option as usize].fetch_add(1, Ordering::Relaxed) == 0 {
        let name = option.name();
        log::warn!("socket_option_failed option={name} error=\"{error}\"");
    }
}

/// Sets `TCP_NODELAY`, so that small writes are sent immediately.
pub fn set_nodelay(stream: &impl AsFd) {
    let result = SockRef::from(stream).set_tcp_nodelay(true);
    count_failure(SocketOption::NoDelay, result);
}

/// Sets the size of the kernel's receive buffer for unread data.
pub fn set_receive_buffer(socket: &impl AsFd, bytes: usize) {
    let result = SockRef::from(socket).set_recv_buffer_size(bytes);
    count_failure(SocketOption::ReceiveBuffer, result);
}

/// Sets `SO_REUSEADDR`, so that a listener can bind an address with connections in `TIME_WAIT`.
pub fn set_reuse_address(socket: &impl AsFd) {
    let result = SockRef::from(socket).set_reuse_address(true);
    count_failure(SocketOption::ReuseAddress, result);
}

/// Sets `SO_REUSEPORT`, so that several processes can listen on the same address.
pub fn set_reuse_port(socket: &impl AsFd) {
    let result = SockRef::from(socket).set_reuse_port(true);
    count_failure(SocketOption::ReusePort, result);
}

/// Makes the kernel close a connection whose peer no longer responds: after data stays unacknowledged for
/// `user_timeout`, or after the keepalive probes of an idle connection stay unanswered.
pub fn enable_dead_peer_detection(stream: &impl AsFd, user_timeout: Duration) {
    let socket = SockRef::from(stream);
    let result = socket.set_tcp_user_timeout(Some(user_timeout));
    count_failure(SocketOption::UserTimeout, result);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    let result = socket.set_tcp_keepalive(&keepalive);
    count_failure(SocketOption::Keepalive, result);
}
