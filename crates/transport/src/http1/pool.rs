//! Connections that rest between two requests.

use super::connection::{Connection, Counts};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{Duration, Instant};
use woadstall_runtime::engine::ServerId;

/// A connection rests for so long before its next request, once an upstream has broken the protocol: a second answer that
/// comes some milliseconds late would else be taken for that of the next request, perhaps another customer's.
const SETTLE: Duration = Duration::from_millis(20);
/// For how long that is remembered.
const SPOILT_MEMORY: Duration = Duration::from_secs(60);
/// Connections to an upstream that may rest so while another one is opened; with more, the one that has rested for longest
/// is used.
const MOST_SETTLING: usize = 4;

/// Idle connections.
pub(super) struct Pool {
    keep: Duration,
    most: usize,
    counts: Arc<Counts>,
    upstreams: HashMap<ServerId, Kept>,
    next_epoch: u64,
}

/// The idle connections to one process of an upstream, the latest used last. What was begun in another epoch
/// belongs to a former process, or to one that was told not to be sent to.
struct Kept {
    epoch: u64,
    idle: Vec<Idle>,
}

/// A connection that rests.
struct Idle {
    since: Instant,
    connection: Connection,
}

impl Idle {
    /// Whether it can be used: it has not rested for as long as its upstream may close it after, and nothing came on it.
    fn is_sound(&self, keep: Duration) -> bool {
        self.since.elapsed() < keep && self.connection.is_quiet()
    }
}

impl Pool {
    /// No connection yet. Idle ones are kept for less than `keep`, and no more than `most` are open, idle or not.
    pub fn new(keep: Duration, most: usize, counts: Arc<Counts>) -> Self {
        Self {
            keep,
            most,
            counts,
            upstreams: HashMap::new(),
            next_epoch: 0,
        }
    }

    /// Keeps idle connections for less than this from now on.
    pub fn keep(&mut self, keep: Duration) {
        self.keep = keep;
    }

    /// Closes the idle connections to an upstream; busy ones may be kept again.
    pub fn close_idle(&mut self, server: ServerId) {
        if let Some(kept) = self.upstreams.get_mut(&server) {
            kept.idle.clear();
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

    /// The present epoch, and the latest used connection that is sound; `None` if there is none, nor room for
    /// one more.
    pub fn take(&mut self, server: ServerId) -> Option<(u64, Option<Connection>)> {
        let next_epoch = &mut self.next_epoch;
        let kept = self.upstreams.entry(server).or_insert_with(|| {
            *next_epoch += 1;
            Kept {
                epoch: *next_epoch,
                idle: Vec::new(),
            }
        });
        let epoch = kept.epoch;
        let settle = if self.counts.spoilt_within(SPOILT_MEMORY) {
            SETTLE
        } else {
            Duration::ZERO
        };
        let rested = |idle: &Idle| idle.since.elapsed() >= settle;
        // One look at a socket in most cases, not one at each that rests.
        while let Some(at) = kept.idle.iter().rposition(rested) {
            let idle = kept.idle.remove(at);
            if idle.is_sound(self.keep) {
                return Some((epoch, Some(idle.connection)));
            }
        }
        kept.idle.retain(|idle| idle.is_sound(self.keep));
        let (idle, room) = (kept.idle.len(), self.make_room());
        if room && idle < MOST_SETTLING {
            return Some((epoch, None));
        }
        // The one that has rested for longest.
        let kept = self
            .upstreams
            .get_mut(&server)
            .filter(|kept| !kept.idle.is_empty());
        match kept {
            Some(kept) => Some((epoch, Some(kept.idle.remove(0).connection))),
            None => room.then_some((epoch, None)),
        }
    }

    /// Whether connections of this epoch are still of use.
    pub fn is_current(&self, server: ServerId, epoch: u64) -> bool {
        self.upstreams
            .get(&server)
            .is_some_and(|kept| kept.epoch == epoch)
    }

    /// Keeps a connection for the next attempt.
    pub fn put(&mut self, server: ServerId, epoch: u64, connection: Connection) {
        if let Some(kept) = self
            .upstreams
            .get_mut(&server)
            .filter(|kept| kept.epoch == epoch)
        {
            kept.idle.push(Idle {
                since: Instant::now(),
                connection,
            });
        }
    }

    /// Closes what has been idle for too long, or has ended.
    pub fn sweep(&mut self) {
        for kept in self.upstreams.values_mut() {
            kept.idle.retain(|idle| idle.is_sound(self.keep));
        }
    }

    /// Whether one more connection may be opened, after closing the one idle for longest if need be.
    fn make_room(&mut self) -> bool {
        let full = |pool: &Self| pool.counts.open.load(Ordering::Relaxed) >= pool.most;
        if full(self) {
            let oldest = self
                .upstreams
                .iter()
                .filter_map(|(server, kept)| Some((kept.idle.first()?.since, *server)))
                .min();
            if let Some((_, server)) = oldest {
                self.upstreams
                    .get_mut(&server)
                    .map(|kept| kept.idle.remove(0));
            }
        }
        !full(self)
    }
}
