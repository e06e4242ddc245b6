//! Connections to upstreams that rest between two requests.

use crate::link::detect_silence;
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use woadstall_inbound::lock;
use woadstall_routing::{Target, UpstreamId};
use woadstall_transport::{Connection, Counts};

/// How long a connection to an upstream of this region may take to come up, and of another one: some round trips, far less
/// than the second after which a lost opening packet would be sent again.
const CONNECT_NEAR: Duration = Duration::from_millis(200);
const CONNECT_FAR: Duration = Duration::from_millis(400);
/// How long bytes to an upstream may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// How long a connection rests where its upstream does not say for how long it keeps it.
const DEFAULT_REST: Duration = Duration::from_secs(3);
/// Descriptors that are kept for clients and other uses, as a part of all.
const FOR_UPSTREAMS: f64 = 0.45;

/// Why there is no connection.
#[derive(Debug)]
pub(crate) enum PoolError {
    /// This balancer's share of connections, or its descriptors, are used up.
    Full,
    /// It did not come up.
    Unreachable(io::Error),
}

/// A connection that is counted while it is open.
pub(crate) struct Pooled {
    connection: Connection,
    /// Whether it has had an answer before.
    pub is_reused: bool,
    _counted: Counted,
}

impl Deref for Pooled {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        &self.connection
    }
}

impl DerefMut for Pooled {
    fn deref_mut(&mut self) -> &mut Connection {
        &mut self.connection
    }
}

struct Counted(Arc<AtomicUsize>, Arc<AtomicUsize>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
        self.1.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Idle {
    connection: Pooled,
    until: Instant,
}

#[derive(Default)]
struct Upstream {
    open: Arc<AtomicUsize>,
    idle: Vec<Idle>,
}

/// The connections to all upstreams.
pub(crate) struct Pool {
    upstreams: Mutex<HashMap<UpstreamId, Upstream>>,
    open: Arc<AtomicUsize>,
    most: usize,
    counts: Arc<Counts>,
}

impl Pool {
    /// No connection yet, of a process with so many descriptors.
    pub fn new(descriptors: usize) -> Self {
        let most = (descriptors as f64 * FOR_UPSTREAMS) as usize;
        Self {
            upstreams: Mutex::default(),
            open: Arc::default(),
            most,
            counts: Arc::default(),
        }
    }

    /// A connection that rests and is sound, or a new one.
    pub async fn take(&self, target: &Target) -> Result<Pooled, PoolError> {
        let counted = {
            let mut upstreams = lock(&self.upstreams);
            let upstream = upstreams.entry(target.id.clone()).or_default();
            while let Some(idle) = upstream.idle.pop() {
                if Instant::now() < idle.until && idle.connection.is_quiet() {
                    return Ok(idle.connection);
                }
            }
            let full = upstream.open.load(Ordering::Relaxed) >= target.max_connections
                || self.open.load(Ordering::Relaxed) >= self.most;
            if full {
                return Err(PoolError::Full);
            }
            upstream.open.fetch_add(1, Ordering::Relaxed);
            self.open.fetch_add(1, Ordering::Relaxed);
            Counted(upstream.open.clone(), self.open.clone())
        };
        let patience = if target.is_local_region {
            CONNECT_NEAR
        } else {
            CONNECT_FAR
        };
        let connected = timeout(patience, TcpStream::connect(target.address)).await;
        let connected = connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let stream = connected.map_err(PoolError::Unreachable)?;
        detect_silence(&stream, UNACKNOWLEDGED).map_err(PoolError::Unreachable)?;
        let connection = Connection::over(stream, self.counts.clone())
            .await
            .map_err(PoolError::Unreachable)?;
        Ok(Pooled {
            connection,
            is_reused: false,
            _counted: counted,
        })
    }

    /// Keeps a connection whose answer has come to its end, for as long as its upstream says that it does.
    pub fn put(&self, id: &UpstreamId, mut connection: Pooled, keep_alive: Option<Duration>) {
        let rest = keep_alive.map_or(DEFAULT_REST, rest_for);
        if rest.is_zero() {
            return;
        }
        connection.is_reused = true;
        let mut upstreams = lock(&self.upstreams);
        if let Some(upstream) = upstreams.get_mut(id) {
            upstream.idle.push(Idle {
                connection,
                until: Instant::now() + rest,
            });
        }
    }

    /// Closes what has rested for long, and forgets upstreams without connections.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut upstreams = lock(&self.upstreams);
        for upstream in upstreams.values_mut() {
            upstream
                .idle
                .retain(|idle| now < idle.until && idle.connection.is_quiet());
        }
        upstreams.retain(|_, upstream| upstream.open.load(Ordering::Relaxed) > 0);
    }
}

/// How long a connection may rest that its upstream closes after a time: less by a round trip between regions and some
/// time in queues.
fn rest_for(closed_after: Duration) -> Duration {
    const MARGIN: Duration = Duration::from_millis(600);
    closed_after.saturating_sub(MARGIN.min(closed_after / 2))
}
