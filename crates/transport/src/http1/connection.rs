//! A connection to an upstream, and how far a request has got on it.

use crate::shared::lock;
use crate::stream::SharedStream;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Duration, Instant};

/// hyper's buffer for an answer: a head without end is given up at this size.
const READ_BUFFER: usize = 16 << 10;

/// Whether a connection failed for lack of our own descriptors, ports or memory.
pub fn is_local(error: &io::Error) -> bool {
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
    pub sender: SendRequest<Outgoing>,
    /// How far the present request has got.
    pub progress: Arc<Progress>,
    stream: SharedStream,
    task: AbortHandle,
    counts: Arc<Counts>,
}

impl Connection {
    /// Connects.
    pub async fn open(address: SocketAddr, counts: Arc<Counts>) -> io::Result<Self> {
        Self::over(TcpStream::connect(address).await?, counts).await
    }

    /// Takes a socket that is connected.
    pub async fn over(tcp: TcpStream, counts: Arc<Counts>) -> io::Result<Self> {
        let stream = SharedStream::new(tcp)?;
        let progress = Arc::<Progress>::default();
        let socket = Socket::new(stream.clone(), progress.clone(), counts.clone());
        let builder = &mut Builder::new();
        let builder = builder.max_buf_size(READ_BUFFER);
        let (sender, connection) = builder
            .handshake(TokioIo::new(socket))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(connection).abort_handle();
        counts.open.fetch_add(1, Ordering::Relaxed);
        Ok(Self {
            sender,
            progress,
            stream,
            task,
            counts,
        })
    }

    /// Whether nothing has come since the last answer. What an idle connection brings is its end, and the
    /// runtime may not have heard of that yet: a request written to it would be lost.
    pub fn is_quiet(&self) -> bool {
        self.sender.is_ready() && self.stream.is_quiet()
    }

    /// Its upstream has broken the protocol.
    pub fn note_spoilt(&self) {
        self.counts.note_spoilt();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // At once: the aborted task holds the socket until it is scheduled, and an attempt given up is to be known as
        // such before another one is written.
        self.stream.shutdown_write().ok();
        self.task.abort();
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How far a request has got on its way out.
#[derive(Default)]
pub struct Progress {
    /// The last of its body is in hyper's hands.
    pub body_taken: AtomicBool,
    /// Its last byte is written: the upstream may run it from here on.
    pub written: AtomicBool,
    /// Its answer has not come to its end: what comes belongs to it.
    pub answer_due: AtomicBool,
}

/// What is counted over all connections.
#[derive(Default)]
pub struct Counts {
    /// Connections that are open.
    pub open: AtomicUsize,
    /// Requests that were written to their last byte.
    pub written: AtomicU64,
    /// When an upstream last broke the protocol.
    spoilt: Mutex<Option<Instant>>,
}

impl Counts {
    fn note_spoilt(&self) {
        *lock(&self.spoilt) = Some(Instant::now());
    }

    /// Whether an upstream has broken the protocol within this time.
    pub fn spoilt_within(&self, time: Duration) -> bool {
        lock(&self.spoilt).is_some_and(|at| at.elapsed() < time)
    }
}

/// The body of a request, which notes when it was taken.
pub struct Outgoing {
    data: Option<Bytes>,
    progress: Arc<Progress>,
}

impl Outgoing {
    /// The body of the next request on a connection.
    pub fn new(body: Bytes, progress: Arc<Progress>) -> Self {
        progress
            .body_taken
            .store(body.is_empty(), Ordering::Relaxed);
        progress.written.store(false, Ordering::Relaxed);
        progress.answer_due.store(true, Ordering::Relaxed);
        Self {
            data: Some(body).filter(|body| !body.is_empty()),
            progress,
        }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let data = self.data.take();
        self.progress.body_taken.store(true, Ordering::Relaxed);
        Poll::Ready(data.map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, Bytes::len) as u64)
    }
}

/// A socket that notes when the last byte of a request is written.
pub(super) struct Socket {
    stream: SharedStream,
    progress: Arc<Progress>,
    counts: Arc<Counts>,
}

impl Socket {
    /// A socket for hyper.
    pub fn new(stream: SharedStream, progress: Arc<Progress>, counts: Arc<Counts>) -> Self {
        Self {
            stream,
            progress,
            counts,
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before && !self.progress.answer_due.load(Ordering::Relaxed) {
            self.counts.note_spoilt(); // bytes that belong to no request
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = ready!(self.stream.poll_write_parts(cx, parts))?;
        // All that hyper had is written, and it had all.
        let offered: usize = parts.iter().map(|part| part.len()).sum();
        let whole = done == offered && self.progress.body_taken.load(Ordering::Relaxed);
        if whole && !self.progress.written.swap(true, Ordering::Relaxed) {
            self.counts.written.fetch_add(1, Ordering::Relaxed);
        }
        Poll::Ready(Ok(done))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shutdown_write())
    }
}
