//! Listening sockets.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use woadstall_socket_options::{set_reuse_address, set_reuse_port};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 1024;

/// Listens on an address with `SO_REUSEPORT`, so that the successor process can listen on the same address during a hot
/// restart.
///
/// # Errors
///
/// Fails if the socket cannot be created or bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    set_reuse_address(&socket);
    set_reuse_port(&socket);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
