//! Listening sockets.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
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

/// Closes a listener and returns the connections of its backlog. Clients consider these connections accepted, and closing
/// the listener would reset them. The function does not await anything, so that hardly any connection can arrive between
/// the last accept and the close.
pub fn close_listener(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let mut backlog = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        backlog.push(stream);
    }
    drop(listener);
    backlog
        .into_iter()
        .filter_map(|stream| {
            stream.set_nonblocking(true).ok()?;
            TcpStream::from_std(stream).ok()
        })
        .collect()
}
