//! A connection over HTTP/2, and the lease of a stream on it.

use bytes::Bytes;
use h2::client::{Builder, Connection as H2Connection, SendRequest};
use h2::{Ping, PingPong};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Duration, Instant};
use woadstall_socket_options::set_nodelay;

/// Largest head of a response, and of its trailers, in bytes.
const MAX_HEAD_BYTES: u32 = 64 << 10;
/// What a peer may send on one stream before it is read, in bytes. Bounds the memory of slow readers.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// What a peer may send on all streams of a connection before it is read, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;
/// A connection that was silent for so long while an attempt waited is not used for new ones: the machine behind it may
/// have vanished, and only a new connection would tell.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(1);

/// Connections that are open, and streams on them.
#[derive(Default)]
pub(super) struct Http2Counts {
    pub connections: AtomicUsize,
    pub streams: AtomicUsize,
}

/// A connection.
pub(super) struct Http2Connection {
    sender: SendRequest<Bytes>,
    streams: AtomicUsize,
    /// No new stream may be opened on it.
    is_closing: AtomicBool,
    opened_at: Instant,
    /// When its last stream ended, in nanoseconds since it was opened.
    idle_from: AtomicU64,
    /// When the peer last sent anything, in nanoseconds since it was opened.
    last_received: AtomicU64,
    counts: Arc<Http2Counts>,
    task: AbortHandle,
}

impl Drop for Http2Connection {
    fn drop(&mut self) {
        self.counts.connections.fetch_sub(1, Ordering::Relaxed);
        // The task ends by itself once the peer has closed, or at once where it has nothing to finish.
        if self.is_closing() {
            self.task.abort();
        }
    }
}

impl Http2Connection {
    /// Connects, and waits for the peer's settings.
    pub async fn open(address: SocketAddr, counts: Arc<Http2Counts>) -> io::Result<Arc<Self>> {
        let tcp = TcpStream::connect(address).await?;
        set_nodelay(&tcp);
        let mut builder = Builder::new();
        builder.initial_window_size(STREAM_WINDOW_BYTES);
        builder.initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        builder
            .max_header_list_size(MAX_HEAD_BYTES)
            .enable_push(false);
        let handshake = builder.handshake::<_, Bytes>(tcp).await;
        let (sender, mut connection) = handshake.map_err(io::Error::other)?;
        let ping_pong = connection.ping_pong();
        let (send_link, link) = oneshot::channel();
        let task = tokio::spawn(drive(connection, link));
        if let Err(error) = await_settings(ping_pong).await {
            task.abort();
            return Err(error);
        }
        counts.connections.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Self {
            sender,
            streams: AtomicUsize::new(0),
            is_closing: AtomicBool::new(false),
            opened_at: Instant::now(),
            idle_from: AtomicU64::new(0),
            last_received: AtomicU64::new(0),
            counts,
            task: task.abort_handle(),
        });
        send_link.send(Arc::downgrade(&connection)).ok();
        Ok(connection)
    }

    /// Nanoseconds since it was opened.
    fn age(&self) -> u64 {
        self.opened_at.elapsed().as_nanos() as u64
    }

    /// Streams that are open on it.
    pub fn streams(&self) -> usize {
        self.streams.load(Ordering::Relaxed)
    }

    /// Whether no new stream may be opened on it.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// No new stream may be opened on it from now on.
    fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }

    /// Whether one more stream may be opened on it, of `max_streams` at most.
    pub fn has_capacity(&self, max_streams: usize) -> bool {
        let max_streams = max_streams.min(self.sender.current_max_send_streams());
        !self.is_closing() && self.streams() < max_streams
    }

    /// Whether it has had no stream for this time.
    pub fn is_idle_for(&self, time: Duration) -> bool {
        let idle = self
            .age()
            .saturating_sub(self.idle_from.load(Ordering::Relaxed));
        self.streams() == 0 && idle >= time.as_nanos() as u64
    }
}

/// Drives a connection to its end. Nothing can be opened on it then.
async fn drive(
    connection: H2Connection<TcpStream, Bytes>,
    link: oneshot::Receiver<Weak<Http2Connection>>,
) {
    connection.await.ok();
    if let Some(connection) = link.await.ok().and_then(|link| link.upgrade()) {
        connection.close();
    }
}

/// Waits for the peer's settings: the response to a ping comes after them. Without these, a crowd that waits for a new
/// connection would open more streams than the peer takes; and a peer that accepts connections without reading them shows
/// here, where nothing has been sent yet.
async fn await_settings(ping_pong: Option<PingPong>) -> io::Result<()> {
    let Some(mut ping_pong) = ping_pong else {
        return Err(io::Error::other("no ping"));
    };
    ping_pong
        .ping(Ping::opaque())
        .await
        .map(drop)
        .map_err(io::Error::other)
}

/// The lease of one stream on a connection.
pub(super) struct StreamLease {
    connection: Arc<Http2Connection>,
    /// Notified when the stream has ended.
    changed: Arc<Notify>,
    /// When it was leased, in nanoseconds since the connection was opened.
    leased_at: u64,
    /// Something came back on the stream.
    has_received: bool,
}

impl StreamLease {
    /// Takes a stream of a connection.
    pub fn new(connection: Arc<Http2Connection>, changed: Arc<Notify>) -> Self {
        connection.streams.fetch_add(1, Ordering::Relaxed);
        connection.counts.streams.fetch_add(1, Ordering::Relaxed);
        let leased_at = connection.age();
        Self {
            connection,
            changed,
            leased_at,
            has_received: false,
        }
    }

    /// What the stream is opened with.
    pub fn sender(&self) -> SendRequest<Bytes> {
        self.connection.sender.clone()
    }

    /// Something came back on the stream.
    pub fn record_received(&mut self) {
        self.has_received = true;
        let now = self.connection.age();
        self.connection.last_received.store(now, Ordering::Relaxed);
    }

    /// The connection takes nothing new from now on.
    pub fn close_connection(&self) {
        self.connection.close();
    }
}

impl Drop for StreamLease {
    fn drop(&mut self) {
        let connection = &self.connection;
        let now = connection.age();
        let waited = now.saturating_sub(self.leased_at);
        let last_received = connection.last_received.load(Ordering::Relaxed);
        let received_nothing = last_received <= self.leased_at;
        let is_unresponsive = waited > UNRESPONSIVE_AFTER.as_nanos() as u64 && received_nothing;
        if !self.has_received && is_unresponsive {
            connection.close();
        }
        connection.idle_from.store(now, Ordering::Relaxed);
        connection.streams.fetch_sub(1, Ordering::Relaxed);
        connection.counts.streams.fetch_sub(1, Ordering::Relaxed);
        self.changed.notify_one();
    }
}
