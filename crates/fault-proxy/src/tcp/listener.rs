//! A TCP listener that can be closed, reopened at the same address, and made to ignore handshakes.

use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use woadstall_socket_options::set_reuse_address;

/// Backlog of the listener, large enough that the proxy itself does not drop bursts of new streams.
const BACKLOG: i32 = 1024;
/// Delay before the next attempt to bind an address that is still in use.
const REBIND_DELAY: Duration = Duration::from_millis(1);
/// Maximum number of streams opened to fill a backlog of length 0. Such a backlog holds one stream;
/// the time-out of a second stream shows that the backlog is full.
const MAX_FILLERS: usize = 3;
/// Time limit for establishing a filler stream.
const FILLER_TIMEOUT: Duration = Duration::from_millis(20);

/// The listener of a proxy.
pub(crate) struct ProxyListener {
    address: SocketAddr,
    listener: Option<TcpListener>,
    /// Streams that keep the backlog full while handshakes are ignored.
    fillers: Vec<TcpStream>,
}

impl ProxyListener {
    /// Listens on an ephemeral port of an IP address.
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

    /// Closes the listener, so that the kernel refuses new streams.
    pub(crate) fn close(&mut self) {
        self.listener = None;
        self.fillers = Vec::new();
    }

    /// Reopens the listener if it is closed. Returns whether the listener is open. If the address
    /// cannot be bound yet, returns after [`REBIND_DELAY`].
    pub(crate) async fn reopen(&mut self) -> bool {
        if self.listener.is_none() {
            match listen(self.address, BACKLOG) {
                Ok(listener) => self.listener = Some(listener),
                Err(_) => sleep(REBIND_DELAY).await,
            }
        }
        self.listener.is_some()
    }

    /// Fills the backlog with filler streams, so that the kernel ignores further handshakes.
    pub(crate) async fn ignore_handshakes(&mut self) {
        if let Some(listener) = &self.listener
            && self.fillers.is_empty()
        {
            self.fillers = fill_backlog(listener, self.address).await;
        }
    }

    /// Restores the backlog, so that the kernel completes handshakes again. The filler streams
    /// remain in the backlog until [`Self::accept`] discards them.
    pub(crate) fn complete_handshakes(&self) {
        if let Some(listener) = &self.listener
            && !self.fillers.is_empty()
        {
            SockRef::from(listener).listen(BACKLOG).ok();
        }
    }

    /// Accepts a stream. Returns `None` if accepting fails or the stream is a filler. This method
    /// is cancel safe.
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
