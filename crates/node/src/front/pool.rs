//! Pools idle connections to upstreams and limits the number of open connections.

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

/// Connect time-out for upstreams of this region. Both connect time-outs allow some round trips and
/// are far below the one second after which the kernel retransmits a lost SYN.
const LOCAL_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Connect time-out for upstreams of other regions.
const REMOTE_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time for which data sent to an upstream may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time-out of connections to upstreams that send no `Keep-Alive` time-out.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// An idle connection is closed up to this long before its upstream would close the connection. The
/// margin covers a round trip between regions and queueing.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// Fraction of the process's file descriptors that connections to upstreams may use. The remaining
/// descriptors are left for clients and other uses.
const UPSTREAM_DESCRIPTOR_RATIO: f64 = 0.45;

/// Reason why the pool has no connection for a request.
#[derive(Debug, Error)]
pub(super) enum PoolError {
    /// The connection limit of the upstream or of the whole pool is reached.
    #[error("connection limit reached")]
    Full,
    /// The connection can't be established.
    #[error("{0}")]
    Unreachable(#[from] io::Error),
}

/// An open connection that counts against the limits of the pool.
pub(super) struct PooledConnection {
    connection: Connection,
    /// Whether the connection has carried an earlier request.
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

/// Counts one connection against the limits of its upstream and of the pool until it is dropped.
struct ConnectionPermit {
    upstream_open_count: Arc<AtomicUsize>,
    total_open_count: Arc<AtomicUsize>,
}

impl ConnectionPermit {
    fn new(upstream_open_count: &Arc<AtomicUsize>, total_open_count: &Arc<AtomicUsize>) -> Self {
        upstream_open_count.fetch_add(1, Ordering::Relaxed);
        total_open_count.fetch_add(1, Ordering::Relaxed);
        Self {
            upstream_open_count: upstream_open_count.clone(),
            total_open_count: total_open_count.clone(),
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.upstream_open_count.fetch_sub(1, Ordering::Relaxed);
        self.total_open_count.fetch_sub(1, Ordering::Relaxed);
    }
}

struct IdleConnection {
    connection: PooledConnection,
    expires_at: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.expires_at && self.connection.is_reusable()
    }
}

/// Idle connections to one upstream and the number of its open connections.
#[derive(Default)]
struct UpstreamConnections {
    open_count: Arc<AtomicUsize>,
    idle: Vec<IdleConnection>,
}

/// Connections to all upstreams of a front.
pub(super) struct ConnectionPool {
    upstreams: Mutex<HashMap<UpstreamId, UpstreamConnections>>,
    open_count: Arc<AtomicUsize>,
    max_open: usize,
    /// Counters of the transport over all connections of the pool.
    transport_counts: Arc<ConnectionCounts>,
}

/// An idle connection, or the permission to open a new connection.
enum Acquired {
    Idle(PooledConnection),
    Permit(ConnectionPermit),
}

impl ConnectionPool {
    /// Creates an empty pool for a process that may open `max_fds` file descriptors.
    pub fn new(max_fds: usize) -> Self {
        Self {
            upstreams: Mutex::default(),
            open_count: Arc::default(),
            max_open: (max_fds as f64 * UPSTREAM_DESCRIPTOR_RATIO) as usize,
            transport_counts: Arc::default(),
        }
    }

    /// Returns an idle connection to a target or establishes a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection limit is reached or if a new connection can't be established.
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
        let connection = Connection::from_tcp(stream, self.transport_counts.clone()).await?;
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
        let is_full = upstream.open_count.load(Ordering::Relaxed) >= target.max_connections
            || self.open_count.load(Ordering::Relaxed) >= self.max_open;
        if is_full {
            return Err(PoolError::Full);
        }
        let permit = ConnectionPermit::new(&upstream.open_count, &self.open_count);
        Ok(Acquired::Permit(permit))
    }

    /// Returns a connection to the pool after a complete response. `upstream_timeout` is the time
    /// after which the upstream closes the idle connection; `None` if the upstream has not
    /// announced one.
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
                expires_at: Instant::now() + idle_timeout,
            });
        }
    }

    /// Closes expired idle connections and removes upstreams without open connections.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut upstreams = lock(&self.upstreams);
        for upstream in upstreams.values_mut() {
            upstream.idle.retain(|idle| idle.is_usable(now));
        }
        upstreams.retain(|_, upstream| upstream.open_count.load(Ordering::Relaxed) > 0);
    }
}

/// Returns the idle time-out for a connection that its upstream closes after `upstream_timeout`.
fn idle_timeout(upstream_timeout: Duration) -> Duration {
    upstream_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN.min(upstream_timeout / 2))
}
