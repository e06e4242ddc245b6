//! An HTTP/1.1 connection to an upstream.

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

/// Size of hyper's read buffer in bytes. A response head that does not fit is an error, which bounds the memory that an
/// endless head can take.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Whether a connection failed because this process or machine lacks descriptors, ports or memory.
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

/// An HTTP/1.1 connection to an upstream. It is closed when dropped.
pub struct Connection {
    /// Sends requests through hyper.
    pub sender: SendRequest<RequestBody>,
    /// Progress of the present request.
    pub progress: Arc<Progress>,
    stream: SharedStream,
    task: AbortHandle,
    counts: Arc<ConnectionCounts>,
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be established.
    pub async fn open(address: SocketAddr, counts: Arc<ConnectionCounts>) -> io::Result<Self> {
        Self::from_tcp(TcpStream::connect(address).await?, counts).await
    }

    /// Creates a connection from a connected socket.
    ///
    /// # Errors
    ///
    /// Fails if hyper's handshake does.
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

    /// Whether the connection can take a request: nothing has arrived since the last response. On an idle connection
    /// the next event is normally its close. The kernel is asked, because the runtime may not have reported the close
    /// yet and a request written to a closed connection would be lost.
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.stream.has_no_pending_input()
    }

    /// Records that the upstream has violated the protocol.
    pub fn record_violation(&self) {
        self.counts.record_violation();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Shuts the socket down at once, because the aborted task holds it until the task is scheduled, and the
        // upstream must see that the attempt was abandoned before another attempt is written.
        self.stream.shutdown_write().ok();
        self.task.abort();
        self.counts.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
