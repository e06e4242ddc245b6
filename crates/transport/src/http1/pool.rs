//! The pool of idle connections.

use super::connection::Connection;
use super::progress::ConnectionCounts;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{Duration, Instant};
use woadstall_runtime::engine::ServerId;

/// Minimum time between two requests on a connection after any upstream has violated the protocol. A surplus response
/// that arrives a few milliseconds late would otherwise be taken for the response to the next request, which may belong
/// to another customer.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// Time after a protocol violation during which [`REUSE_DELAY`] applies.
const VIOLATION_RETENTION: Duration = Duration::from_secs(60);
/// Number of idle connections to an upstream within their [`REUSE_DELAY`] at which no further connection is opened;
/// the connection that has been idle for longest is used instead.
const MAX_DELAYED_CONNECTIONS: usize = 4;

/// Idle connections to all upstreams.
pub(super) struct Pool {
    idle_timeout: Duration,
    max_open: usize,
    counts: Arc<ConnectionCounts>,
    upstreams: HashMap<ServerId, UpstreamPool>,
    next_epoch: u64,
}

/// The idle connections to one process of an upstream, the most recently used last. Connections and attempts of another
/// epoch belong to a former process, or to a process that receives no new requests.
struct UpstreamPool {
    epoch: u64,
    idle: Vec<IdleConnection>,
}

struct IdleConnection {
    idle_since: Instant,
    connection: Connection,
}

impl IdleConnection {
    /// Whether the connection is within the idle timeout and has received nothing since its last response.
    fn is_usable(&self, idle_timeout: Duration) -> bool {
        self.idle_since.elapsed() < idle_timeout && self.connection.is_reusable()
    }
}

/// The epoch and the connection with which an attempt is made.
pub(super) struct Checkout {
    /// Epoch of the upstream process that the attempt belongs to.
    pub epoch: u64,
    /// The pooled connection to use; `None` if a new one must be opened.
    pub idle: Option<Connection>,
}

impl Pool {
    /// Creates an empty pool. Idle connections are kept for less than `idle_timeout`. `max_open` limits the open
    /// connections, idle and busy.
    pub fn new(idle_timeout: Duration, max_open: usize, counts: Arc<ConnectionCounts>) -> Self {
        Self {
            idle_timeout,
            max_open,
            counts,
            upstreams: HashMap::new(),
            next_epoch: 0,
        }
    }

    pub fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.idle_timeout = idle_timeout;
    }

    /// Closes the idle connections to an upstream. Busy connections may still return to the pool.
    pub fn close_idle(&mut self, server: ServerId) {
        if let Some(pool) = self.upstreams.get_mut(&server) {
            pool.idle.clear();
        }
    }

    /// Ends the present epoch of an upstream: closes its idle connections, and keeps its busy connections from
    /// returning to the pool.
    pub fn retire(&mut self, server: ServerId) {
        self.upstreams.remove(&server);
    }

    /// Ends the present epochs of all upstreams: closes all idle connections, and keeps the busy ones from returning to
    /// the pool.
    pub fn clear(&mut self) {
        self.upstreams.clear();
    }

    /// Returns the present epoch of the upstream, with the most recently used connection that is usable, or without one
    /// if a connection may be opened. If all usable connections are within their reuse delay and no further one may be
    /// opened, the connection that has been idle for longest is used. `None` if there is neither a usable connection
    /// nor capacity for a new one.
    pub fn check_out(&mut self, server: ServerId) -> Option<Checkout> {
        let next_epoch = &mut self.next_epoch;
        let pool = self.upstreams.entry(server).or_insert_with(|| {
            *next_epoch += 1;
            UpstreamPool {
                epoch: *next_epoch,
                idle: Vec::new(),
            }
        });
        let epoch = pool.epoch;
        let had_violation = self.counts.had_violation_within(VIOLATION_RETENTION);
        let reuse_delay = if had_violation {
            REUSE_DELAY
        } else {
            Duration::ZERO
        };
        if let Some(connection) = pool.take_usable(reuse_delay, self.idle_timeout) {
            return Some(Checkout {
                epoch,
                idle: Some(connection),
            });
        }
        pool.idle.retain(|idle| idle.is_usable(self.idle_timeout));
        // The usable connections that remain are all within their reuse delay.
        let delayed_connections = pool.idle.len();
        let may_open = self.make_capacity();
        if may_open && delayed_connections < MAX_DELAYED_CONNECTIONS {
            return Some(Checkout { epoch, idle: None });
        }
        let oldest = self
            .upstreams
            .get_mut(&server)
            .and_then(UpstreamPool::take_oldest);
        if oldest.is_none() && !may_open {
            return None;
        }
        Some(Checkout {
            epoch,
            idle: oldest,
        })
    }

    /// Whether the upstream is still in this epoch.
    pub fn is_current(&self, server: ServerId, epoch: u64) -> bool {
        self.upstreams
            .get(&server)
            .is_some_and(|pool| pool.epoch == epoch)
    }

    /// Returns a connection to the pool. Closes it if the epoch of the upstream has ended.
    pub fn put(&mut self, server: ServerId, epoch: u64, connection: Connection) {
        if let Some(pool) = self
            .upstreams
            .get_mut(&server)
            .filter(|pool| pool.epoch == epoch)
        {
            pool.idle.push(IdleConnection {
                idle_since: Instant::now(),
                connection,
            });
        }
    }

    /// Closes the idle connections that have exceeded the idle timeout, have ended or have received surplus bytes.
    pub fn sweep(&mut self) {
        for pool in self.upstreams.values_mut() {
            pool.idle.retain(|idle| idle.is_usable(self.idle_timeout));
        }
    }

    /// Closes the connection that has been idle for longest if the limit is reached, and returns whether one more
    /// connection may be opened.
    fn make_capacity(&mut self) -> bool {
        if self.is_full() {
            let oldest = self
                .upstreams
                .iter()
                .filter_map(|(server, pool)| Some((pool.idle.first()?.idle_since, *server)))
                .min();
            if let Some((_, server)) = oldest {
                self.upstreams
                    .get_mut(&server)
                    .and_then(UpstreamPool::take_oldest);
            }
        }
        !self.is_full()
    }

    fn is_full(&self) -> bool {
        self.counts.open_connections.load(Ordering::Relaxed) >= self.max_open
    }
}

impl UpstreamPool {
    /// Takes the most recently used connection that is usable and has been idle for at least `reuse_delay`. Closes the
    /// unusable connections that it meets; in most cases this inspects one socket instead of all idle ones.
    fn take_usable(&mut self, reuse_delay: Duration, idle_timeout: Duration) -> Option<Connection> {
        let is_past_delay = |idle: &IdleConnection| idle.idle_since.elapsed() >= reuse_delay;
        while let Some(position) = self.idle.iter().rposition(is_past_delay) {
            let idle = self.idle.remove(position);
            if idle.is_usable(idle_timeout) {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Takes the connection that has been idle for longest.
    fn take_oldest(&mut self) -> Option<Connection> {
        if self.idle.is_empty() {
            return None;
        }
        Some(self.idle.remove(0).connection)
    }
}
