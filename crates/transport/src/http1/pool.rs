//! Idle connections between two requests.

use super::connection::Connection;
use super::progress::ConnectionCounts;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{Duration, Instant};
use woadstall_runtime::engine::ServerId;

/// How long a connection rests before its next request, once an upstream has broken the protocol: a second response that
/// comes some milliseconds late would else be taken for that of the next request, perhaps another customer's.
const REST_TIME: Duration = Duration::from_millis(20);
/// For how long a violation of the protocol is remembered.
const VIOLATION_MEMORY: Duration = Duration::from_secs(60);
/// Most connections to an upstream that may rest so while another one is opened; with more, the one that has rested for
/// longest is used.
const MAX_RESTING: usize = 4;

/// Idle connections to all upstreams.
pub(super) struct Pool {
    idle_timeout: Duration,
    max_open: usize,
    counts: Arc<ConnectionCounts>,
    upstreams: HashMap<ServerId, UpstreamPool>,
    next_epoch: u64,
}

/// The idle connections to one process of an upstream, the latest used last. What was begun in another epoch belongs to a
/// former process, or to one that takes nothing new.
struct UpstreamPool {
    epoch: u64,
    idle: Vec<IdleConnection>,
}

struct IdleConnection {
    since: Instant,
    connection: Connection,
}

impl IdleConnection {
    /// Whether it can be used: its upstream may not have closed it yet, and nothing came on it.
    fn is_usable(&self, idle_timeout: Duration) -> bool {
        self.since.elapsed() < idle_timeout && self.connection.is_reusable()
    }
}

/// A permission to make an attempt.
pub(super) struct Checkout {
    /// The process that the attempt belongs to.
    pub epoch: u64,
    /// A connection to use; `None` where one is to be opened.
    pub idle: Option<Connection>,
}

impl Pool {
    /// No connection yet. Idle ones are kept for less than `idle_timeout`, and no more than `max_open` are open, idle or
    /// not.
    pub fn new(idle_timeout: Duration, max_open: usize, counts: Arc<ConnectionCounts>) -> Self {
        Self {
            idle_timeout,
            max_open,
            counts,
            upstreams: HashMap::new(),
            next_epoch: 0,
        }
    }

    /// Keeps idle connections for less than this from now on.
    pub fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.idle_timeout = idle_timeout;
    }

    /// Closes the idle connections to an upstream; busy ones may be kept again.
    pub fn close_idle(&mut self, server: ServerId) {
        if let Some(pool) = self.upstreams.get_mut(&server) {
            pool.idle.clear();
        }
    }

    /// Keeps no present connection to an upstream.
    pub fn retire(&mut self, server: ServerId) {
        self.upstreams.remove(&server);
    }

    /// Keeps no present connection.
    pub fn clear(&mut self) {
        self.upstreams.clear();
    }

    /// The present epoch, and the latest used connection that is usable. `None` if there is none, nor capacity for one
    /// more.
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
        let had_violation = self.counts.had_violation_within(VIOLATION_MEMORY);
        let rest_time = if had_violation {
            REST_TIME
        } else {
            Duration::ZERO
        };
        if let Some(connection) = pool.take_usable(rest_time, self.idle_timeout) {
            return Some(Checkout {
                epoch,
                idle: Some(connection),
            });
        }
        pool.idle.retain(|idle| idle.is_usable(self.idle_timeout));
        let resting = pool.idle.len();
        let may_open = self.make_capacity();
        if may_open && resting < MAX_RESTING {
            return Some(Checkout { epoch, idle: None });
        }
        let rested_longest = self
            .upstreams
            .get_mut(&server)
            .and_then(UpstreamPool::take_oldest);
        if rested_longest.is_none() && !may_open {
            return None;
        }
        Some(Checkout {
            epoch,
            idle: rested_longest,
        })
    }

    /// Whether connections of this epoch are still of use.
    pub fn is_current(&self, server: ServerId, epoch: u64) -> bool {
        self.upstreams
            .get(&server)
            .is_some_and(|pool| pool.epoch == epoch)
    }

    /// Keeps a connection for the next attempt.
    pub fn put(&mut self, server: ServerId, epoch: u64, connection: Connection) {
        if let Some(pool) = self
            .upstreams
            .get_mut(&server)
            .filter(|pool| pool.epoch == epoch)
        {
            pool.idle.push(IdleConnection {
                since: Instant::now(),
                connection,
            });
        }
    }

    /// Closes what has been idle for too long, or has ended.
    pub fn sweep(&mut self) {
        for pool in self.upstreams.values_mut() {
            pool.idle.retain(|idle| idle.is_usable(self.idle_timeout));
        }
    }

    /// Whether one more connection may be opened, after closing the one idle for longest if need be.
    fn make_capacity(&mut self) -> bool {
        if self.is_full() {
            let oldest = self
                .upstreams
                .iter()
                .filter_map(|(server, pool)| Some((pool.idle.first()?.since, *server)))
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
    /// The latest used connection that is usable and has rested; drops those that are not usable. One look at a socket in
    /// most cases, not one at each that is idle.
    fn take_usable(&mut self, rest_time: Duration, idle_timeout: Duration) -> Option<Connection> {
        let has_rested = |idle: &IdleConnection| idle.since.elapsed() >= rest_time;
        while let Some(position) = self.idle.iter().rposition(has_rested) {
            let idle = self.idle.remove(position);
            if idle.is_usable(idle_timeout) {
                return Some(idle.connection);
            }
        }
        None
    }

    /// The connection that has been idle for longest.
    fn take_oldest(&mut self) -> Option<Connection> {
        if self.idle.is_empty() {
            return None;
        }
        Some(self.idle.remove(0).connection)
    }
}
