//! Idle connections to upstreams, and limits of open ones.

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use woadstall_inbound::lock;
use woadstall_routing::{Target, UpstreamId};
use woadstall_socket_options::enable_dead_peer_detection;
use woadstall_transport::{Connection, ConnectionCounts};

/// How long a connection to an upstream of this region may take to be established, and to one of
/// another region: some round trips, far less than the second after which a lost SYN would be
/// retransmitted.
const LOCAL_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const REMOTE_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long data sent to an upstream may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long an idle connection is kept if its upstream does not say how long it keeps it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long before its upstream an idle connection is closed here, at most: a round trip between
/// regions and time in queues.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// The part of the descriptors that upstreams may use; the rest is for clients and other uses.
const UPSTREAM_DESCRIPTOR_RATIO: f64 = 0.45;

/// There is no connection for a request.
#[derive(Debug, Error)]
pub(super) enum PoolError {
    /// The limit of connections, to this upstream or to all, is reached.
    #[error("the limit of connections is reached")]
    Full,
    /// The connection can't be established.
    #[error("{0}")]
    Unreachable(#[from] io::Error),
}

/// A connection of the pool, counted while it is open.
pub(super) struct PooledConnection {
    connection: Connection,
    /// Whether it has been used before.
    pub is_reused: bool,
    _permit: ConnectionPermit,
}

impl Deref for PooledConnection {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        &self.connection
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut Connection {
        &mut self.connection
    }
}

/// Counts a connection, to its upstream and in total, until dropped.
struct ConnectionPermit {
    upstream_open: Arc<AtomicUsize>,
    total_open: Arc<AtomicUsize>,
}

impl ConnectionPermit {
    fn new(upstream_open: &Arc<AtomicUsize>, total_open: &Arc<AtomicUsize>) -> Self {
        upstream_open.fetch_add(1, Ordering::Relaxed);
        total_open.fetch_add(1, Ordering::Relaxed);
        Self {
            upstream_open: upstream_open.clone(),
            total_open: total_open.clone(),
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.upstream_open.fetch_sub(1, Ordering::Relaxed);
        self.total_open.fetch_sub(1, Ordering::Relaxed);
    }
}

struct IdleConnection {
    connection: PooledConnection,
    expires: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.expires && self.connection.is_reusable()
    }
}

/// The connections to one upstream.
#[derive(Default)]
struct UpstreamConnections {
    open: Arc<AtomicUsize>,
    idle: Vec<IdleConnection>,
}

/// The connections to all upstreams.
pub(super) struct ConnectionPool {
    upstreams: Mutex<HashMap<UpstreamId, UpstreamConnections>>,
    open: Arc<AtomicUsize>,
    max_open: usize,
    counts: Arc<ConnectionCounts>,
}

/// What [`ConnectionPool::acquire`] has found.
enum Acquired {
    Idle(PooledConnection),
    Permit(ConnectionPermit),
}

impl ConnectionPool {
    /// An empty pool in a process with so many file descriptors.
    pub fn new(max_fds: usize) -> Self {
        Self {
            upstreams: Mutex::default(),
            open: Arc::default(),
            max_open: (max_fds as f64 * UPSTREAM_DESCRIPTOR_RATIO) as usize,
            counts: Arc::default(),
        }
    }

    /// An idle connection to a target, or a new one.
    ///
    /// # Errors
    ///
    /// The limit of connections is reached, or a new connection can't be established.
    pub async fn acquire(&self, target: &Target) -> Result<PooledConnection, PoolError> {
        let permit = match self.acquire_idle_or_permit(target)? {
            Acquired::Idle(connection) => return Ok(connection),
            Acquired::Permit(permit) => permit,
        };
        let connect_timeout = if target.is_local_region {
            LOCAL_CONNECT_TIMEOUT
        } else {
            REMOTE_CONNECT_TIMEOUT
        };
        let connected = timeout(connect_timeout, TcpStream::connect(target.address)).await;
        let stream = connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))?;
        enable_dead_peer_detection(&stream, USER_TIMEOUT);
        let connection = Connection::from_tcp(stream, self.counts.clone()).await?;
        Ok(PooledConnection {
            connection,
            is_reused: false,
            _permit: permit,
        })
    }

    fn acquire_idle_or_permit(&self, target: &Target) -> Result<Acquired, PoolError> {
        let mut upstreams = lock(&self.upstreams);
        let upstream = upstreams.entry(target.id.clone()).or_default();
        while let Some(idle) = upstream.idle.pop() {
            if idle.is_usable(Instant::now()) {
                return Ok(Acquired::Idle(idle.connection));
            }
        }
        let is_full = upstream.open.load(Ordering::Relaxed) >= target.max_connections
            || self.open.load(Ordering::Relaxed) >= self.max_open;
        if is_full {
            return Err(PoolError::Full);
        }
        let permit = ConnectionPermit::new(&upstream.open, &self.open);
        Ok(Acquired::Permit(permit))
    }

    /// Keeps a connection after a complete response. `upstream_timeout` is the time after which its
    /// upstream closes it.
    pub fn release(
        &self,
        id: &UpstreamId,
        mut connection: PooledConnection,
        upstream_timeout: Option<Duration>,
    ) {
        let idle_timeout = upstream_timeout.map_or(DEFAULT_IDLE_TIMEOUT, idle_timeout);
        if idle_timeout.is_zero() {
            return;
        }
        connection.is_reused = true;
        let mut upstreams = lock(&self.upstreams);
        if let Some(upstream) = upstreams.get_mut(id) {
            upstream.idle.push(IdleConnection {
                connection,
                expires: Instant::now() + idle_timeout,
            });
        }
    }

    /// Closes idle connections that have expired, and removes upstreams without connections.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut upstreams = lock(&self.upstreams);
        for upstream in upstreams.values_mut() {
            upstream.idle.retain(|idle| idle.is_usable(now));
        }
        upstreams.retain(|_, upstream| upstream.open.load(Ordering::Relaxed) > 0);
    }
}

/// How long a connection may be idle that its upstream closes after a time.
fn idle_timeout(upstream_timeout: Duration) -> Duration {
    upstream_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN.min(upstream_timeout / 2))
}
