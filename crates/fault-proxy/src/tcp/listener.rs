//! A listener that can be closed, opened again at the same address, and made to ignore handshakes.

use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use woadstall_socket_options::set_reuse_address;

/// Streams that may wait to be accepted: the proxy itself must not drop a burst.
const BACKLOG: i32 = 1024;
/// How long to wait until the address can be bound again.
const REBIND_DELAY: Duration = Duration::from_millis(1);
/// Streams that are opened to fill a backlog of length 0: it takes one, and a second one that does
/// not come up shows that it is full.
const MAX_FILLERS: usize = 3;
/// How long a filler may take to come up.
const FILLER_TIMEOUT: Duration = Duration::from_millis(20);

/// The listener of a proxy.
pub(crate) struct ProxyListener {
    address: SocketAddr,
    listener: Option<TcpListener>,
    /// Streams that keep the backlog full while handshakes are ignored.
    fillers: Vec<TcpStream>,
}

impl ProxyListener {
    /// Listens on any port of an address.
    pub(crate) fn bind(ip: IpAddr) -> io::Result<Self> {
        let listener = listen(SocketAddr::new(ip, 0), BACKLOG)?;
        Ok(Self {
            address: listener.local_addr()?,
            listener: Some(listener),
            fillers: Vec::new(),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener: new streams are refused.
    pub(crate) fn close(&mut self) {
        self.listener = None;
        self.fillers = Vec::new();
    }

    /// Opens the listener again if it was closed. Returns whether it is open; if it cannot be yet,
    /// after a while.
    pub(crate) async fn reopen(&mut self) -> bool {
        if self.listener.is_none() {
            match listen(self.address, BACKLOG) {
                Ok(listener) => self.listener = Some(listener),
                Err(_) => sleep(REBIND_DELAY).await,
            }
        }
        self.listener.is_some()
    }

    /// Fills the backlog, so that the kernel ignores further handshakes.
    pub(crate) async fn ignore_handshakes(&mut self) {
        if let Some(listener) = &self.listener
            && self.fillers.is_empty()
        {
            self.fillers = fill_backlog(listener, self.address).await;
        }
    }

    /// Lets the kernel complete handshakes again after they were ignored. The fillers are still to
    /// be accepted.
    pub(crate) fn complete_handshakes(&self) {
        if let Some(listener) = &self.listener
            && !self.fillers.is_empty()
        {
            SockRef::from(listener).listen(BACKLOG).ok();
        }
    }

    /// Accepts a stream; `None` if that fails, or the stream is a filler. Cancel safe.
    pub(crate) async fn accept(&mut self) -> Option<(TcpStream, SocketAddr)> {
        let Some(listener) = &self.listener else {
            return std::future::pending().await;
        };
        let (stream, peer) = listener.accept().await.ok()?;
        let is_filler = |filler: &TcpStream| filler.local_addr().ok() == Some(peer);
        match self.fillers.iter().position(is_filler) {
            Some(filler) => {
                self.fillers.remove(filler);
                None
            }
            None => Some((stream, peer)),
        }
    }
}

fn listen(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    set_reuse_address(&socket);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    TcpListener::from_std(socket.into())
}

async fn fill_backlog(listener: &TcpListener, address: SocketAddr) -> Vec<TcpStream> {
    SockRef::from(listener).listen(0).ok();
    let mut fillers = Vec::new();
    for _ in 0..MAX_FILLERS {
        match timeout(FILLER_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(filler)) => fillers.push(filler),
            _ => break,
        }
    }
    fillers
}
