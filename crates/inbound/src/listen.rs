//! Listening sockets.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use woadstall_socket_options::{set_reuse_address, set_reuse_port};

/// Most connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Listens where another process of this program may listen too: its successor at a hot restart.
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
