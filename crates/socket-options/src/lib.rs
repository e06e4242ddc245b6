//! Options that a socket can do without.
//!
//! They save latency, hold bursts, or let a dead peer or a successor be noticed sooner. None of them is a reason to close
//! a connection or to fail a start: where the kernel refuses one, the socket is used as it is, the failure is counted
//! ([`failures`]) and the first one of each option is logged as `socket_option_failed option=… error=…`.
//!
//! Two options are no matter of this crate, as a socket is of no use without them, and their callers return the error:
//! non-blocking mode, without which a socket would block its runtime, and a linger time of zero, without which a response
//! that was cut off looks complete.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// An option that a socket can do without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketOption {
    /// `TCP_NODELAY`. Without it, small writes may wait for the acknowledgement of earlier ones.
    NoDelay,
    /// `SO_RCVBUF`. Without it, more datagrams of a burst are dropped.
    ReceiveBuffer,
    /// `SO_REUSEADDR`. Without it, an address that was in use a moment ago cannot be bound, which `bind` reports.
    ReuseAddress,
    /// `SO_REUSEPORT`. Without it, no successor can listen beside this process at a hot restart.
    ReusePort,
    /// `TCP_USER_TIMEOUT` (RFC 5482). Without it, a dead peer is noticed by the time limits of the calls alone.
    UserTimeout,
    /// `SO_KEEPALIVE` and its intervals. Without them, an idle connection to a dead peer stays open.
    Keepalive,
}

impl SocketOption {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::NoDelay,
        Self::ReceiveBuffer,
        Self::ReuseAddress,
        Self::ReusePort,
        Self::UserTimeout,
        Self::Keepalive,
    ];

    /// Its name in logs and metrics.
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

/// Failures of each option in this process.
static FAILURES: [AtomicU64; SocketOption::ALL.len()] =
    [const { AtomicU64::new(0) }; SocketOption::ALL.len()];

/// How many times an option could not be set, since the start of this process.
pub fn failures(option: SocketOption) -> u64 {
    FAILURES[option as usize].load(Ordering::Relaxed)
}

fn count_failure(option: SocketOption, result: io::Result<()>) {
    let Err(error) = result else {
        return;
    };
    if FAILURES[option as usize].fetch_add(1, Ordering::Relaxed) == 0 {
        let name = option.name();
        log::warn!("socket_option_failed option={name} error=\"{error}\"");
    }
}

/// Has small writes sent at once.
pub fn set_nodelay(stream: &impl AsFd) {
    let result = SockRef::from(stream).set_tcp_nodelay(true);
    count_failure(SocketOption::NoDelay, result);
}

/// Has the kernel hold so many bytes that were not read yet.
pub fn set_receive_buffer(socket: &impl AsFd, bytes: usize) {
    let result = SockRef::from(socket).set_recv_buffer_size(bytes);
    count_failure(SocketOption::ReceiveBuffer, result);
}

/// Lets a listener bind an address whose former connections have not timed out yet.
pub fn set_reuse_address(socket: &impl AsFd) {
    let result = SockRef::from(socket).set_reuse_address(true);
    count_failure(SocketOption::ReuseAddress, result);
}

/// Lets several processes listen on one address.
pub fn set_reuse_port(socket: &impl AsFd) {
    let result = SockRef::from(socket).set_reuse_port(true);
    count_failure(SocketOption::ReusePort, result);
}

/// Has the kernel close a connection whose peer no longer responds: one with data unacknowledged for `user_timeout`, or an
/// idle one whose keepalive probes nobody answers.
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
