//! A connection to an upstream.

use super::progress::{ConnectionCounts, Progress, RequestBody};
use super::socket::Socket;
use crate::shared_stream::SharedStream;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// hyper's buffer for a response, in bytes: a head without end is given up at this size.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Whether a connection failed for lack of our own descriptors, ports or memory.
pub fn is_local_resource_error(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS))
        || matches!(
            error.kind(),
            ErrorKind::AddrNotAvailable | ErrorKind::OutOfMemory
        )
}

/// A connection to an upstream. Dropping it closes it.
pub struct Connection {
    /// Takes the next request.
    pub sender: SendRequest<RequestBody>,
    /// How far the present request has got.
    pub progress: Arc<Progress>,
    stream: SharedStream,
    task: AbortHandle,
    counts: Arc<ConnectionCounts>,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be established.
    pub async fn open(address: SocketAddr, counts: Arc<ConnectionCounts>) -> io::Result<Self> {
        Self::from_tcp(TcpStream::connect(address).await?, counts).await
    }

    /// Takes a socket that is connected.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be driven.
    pub async fn from_tcp(tcp: TcpStream, counts: Arc<ConnectionCounts>) -> io::Result<Self> {
        let stream = SharedStream::new(tcp);
        let progress = Arc::<Progress>::default();
        let socket = Socket::new(stream.clone(), progress.clone(), counts.clone());
        let mut builder = Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(socket)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(connection).abort_handle();
        counts.open_connections.fetch_add(1, Ordering::Relaxed);
        Ok(Self {
            sender,
            progress,
            stream,
            task,
            counts,
        })
    }

    /// Whether nothing has come since the last response. What an idle connection brings is its end, and the runtime may
    /// not have reported that yet: a request written to it would be lost.
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.stream.has_no_pending_input()
    }

    /// Its upstream has broken the protocol.
    pub fn record_violation(&self) {
        self.counts.record_violation();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // At once: the aborted task holds the socket until it is scheduled, and an attempt given up is to be known as
        // such before another one is written.
        self.stream.shutdown_write().ok();
        self.task.abort();
        self.counts.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
