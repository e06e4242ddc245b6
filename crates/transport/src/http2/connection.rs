//! An HTTP/2 connection, and the lease of a stream on it.

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

/// Maximum size of a response head, and of trailers, in bytes.
const MAX_HEAD_BYTES: u32 = 64 << 10;
/// Number of unread bytes that a peer may send on one stream. The limit bounds the memory that slow readers take.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Number of unread bytes that a peer may send on all streams of a connection.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;
/// A connection that received nothing for longer than this while an attempt waited is not used for new streams. The
/// upstream's machine may have become unreachable, which only an attempt to open a new connection would show.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(1);

/// Numbers of open connections and of open streams on them.
#[derive(Default)]
pub(super) struct Http2Counts {
    pub connections: AtomicUsize,
    pub streams: AtomicUsize,
}

/// An HTTP/2 connection to an upstream.
pub(super) struct Http2Connection {
    sender: SendRequest<Bytes>,
    streams: AtomicUsize,
    /// No new stream may be opened.
    is_closing: AtomicBool,
    opened_at: Instant,
    /// Time at which the last stream ended, in nanoseconds since the connection was opened.
    idle_since_ns: AtomicU64,
    /// Time at which the peer last sent anything, in nanoseconds since the connection was opened.
    last_received_ns: AtomicU64,
    counts: Arc<Http2Counts>,
    task: AbortHandle,
}

impl Drop for Http2Connection {
    fn drop(&mut self) {
        self.counts.connections.fetch_sub(1, Ordering::Relaxed);
        // Without an abort, the task ends when the peer has closed the connection, or at once if no stream is open.
        if self.is_closing() {
            self.task.abort();
        }
    }
}

impl Http2Connection {
    /// Opens a connection and waits for the peer's settings.
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
        let (send_handle, handle) = oneshot::channel();
        let task = tokio::spawn(drive(connection, handle));
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
            idle_since_ns: AtomicU64::new(0),
            last_received_ns: AtomicU64::new(0),
            counts,
            task: task.abort_handle(),
        });
        send_handle.send(Arc::downgrade(&connection)).ok();
        Ok(connection)
    }

    /// Nanoseconds since the connection was opened.
    fn age_ns(&self) -> u64 {
        self.opened_at.elapsed().as_nanos() as u64
    }

    /// The number of open streams.
    pub fn streams(&self) -> usize {
        self.streams.load(Ordering::Relaxed)
    }

    /// Whether no new stream may be opened.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Permits no new streams from now on. Open streams continue.
    fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }

    /// Whether one more stream may be opened under `max_streams`, the peer's own limit and the state of the connection.
    pub fn has_capacity(&self, max_streams: usize) -> bool {
        let max_streams = max_streams.min(self.sender.current_max_send_streams());
        !self.is_closing() && self.streams() < max_streams
    }

    /// Whether no stream has been open for this time.
    pub fn is_idle_for(&self, time: Duration) -> bool {
        let idle_ns = self
            .age_ns()
            .saturating_sub(self.idle_since_ns.load(Ordering::Relaxed));
        self.streams() == 0 && idle_ns >= time.as_nanos() as u64
    }
}

/// Drives a connection until it ends, and then marks it as closing.
async fn drive(
    connection: H2Connection<TcpStream, Bytes>,
    handle: oneshot::Receiver<Weak<Http2Connection>>,
) {
    connection.await.ok();
    if let Some(connection) = handle.await.ok().and_then(|handle| handle.upgrade()) {
        connection.close();
    }
}

/// Waits for the peer's settings, by means of a ping whose response follows them. Without the settings, the attempts
/// that wait for a new connection would open more streams than the peer permits. The ping also detects a peer that
/// accepts connections but does not read from them, before any request is sent.
async fn await_settings(ping_pong: Option<PingPong>) -> io::Result<()> {
    let Some(mut ping_pong) = ping_pong else {
        return Err(io::Error::other("the connection's ping handle is taken"));
    };
    ping_pong
        .ping(Ping::opaque())
        .await
        .map(drop)
        .map_err(io::Error::other)
}

/// The lease of one stream on a connection. Dropping the lease lets another stream take its place.
pub(super) struct StreamLease {
    connection: Arc<Http2Connection>,
    /// Notified when the lease ends, so that an attempt that waits for a stream tries again.
    capacity_changed: Arc<Notify>,
    /// Start of the lease, in nanoseconds since the connection was opened.
    leased_at_ns: u64,
    /// The stream has received a response head or data.
    has_received: bool,
}

impl StreamLease {
    /// Leases a stream of a connection. `capacity_changed` is notified when the lease ends.
    pub fn new(connection: Arc<Http2Connection>, capacity_changed: Arc<Notify>) -> Self {
        connection.streams.fetch_add(1, Ordering::Relaxed);
        connection.counts.streams.fetch_add(1, Ordering::Relaxed);
        let leased_at_ns = connection.age_ns();
        Self {
            connection,
            capacity_changed,
            leased_at_ns,
            has_received: false,
        }
    }

    /// The `h2` handle that opens the stream.
    pub fn sender(&self) -> SendRequest<Bytes> {
        self.connection.sender.clone()
    }

    /// Records that something was received on the stream.
    pub fn record_received(&mut self) {
        self.has_received = true;
        let now_ns = self.connection.age_ns();
        self.connection
            .last_received_ns
            .store(now_ns, Ordering::Relaxed);
    }

    /// Marks the connection as closing, so that no new stream is opened on it.
    pub fn close_connection(&self) {
        self.connection.close();
    }
}

impl Drop for StreamLease {
    fn drop(&mut self) {
        let connection = &self.connection;
        let now_ns = connection.age_ns();
        let waited_ns = now_ns.saturating_sub(self.leased_at_ns);
        let last_received_ns = connection.last_received_ns.load(Ordering::Relaxed);
        let received_nothing = last_received_ns <= self.leased_at_ns;
        let is_unresponsive = waited_ns > UNRESPONSIVE_AFTER.as_nanos() as u64 && received_nothing;
        if !self.has_received && is_unresponsive {
            connection.close();
        }
        connection.idle_since_ns.store(now_ns, Ordering::Relaxed);
        connection.streams.fetch_sub(1, Ordering::Relaxed);
        connection.counts.streams.fetch_sub(1, Ordering::Relaxed);
        self.capacity_changed.notify_one();
    }
}
