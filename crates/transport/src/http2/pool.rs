//! The pool of HTTP/2 connections, which leases streams on them.

use super::Http2Limits;
use super::connection::{Http2Connection, Http2Counts, StreamLease};
use crate::http1::is_local_resource_error;
use crate::sync::lock;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use tokio::sync::futures::OwnedNotified;
use tokio::time::timeout;
use woadstall_runtime::engine::{Outcome, Peer, ServerId};

/// Connections to all upstreams.
pub(super) struct Pool {
    pub limits: Http2Limits,
    upstreams: Mutex<HashMap<ServerId, UpstreamConnections>>,
    next_epoch: AtomicU64,
    pub counts: Arc<Http2Counts>,
}

/// The connections to one process of an upstream.
struct UpstreamConnections {
    /// Distinguishes this process from former ones. Attempts that began in another epoch are not given streams.
    epoch: u64,
    connections: Vec<Arc<Http2Connection>>,
    is_connecting: bool,
    /// Number of connections that could not be established.
    failures: u64,
    /// Outcome for the attempts that waited for the connection that failed last.
    last_failure: Outcome,
    /// Notified when a stream has ended, a connection was established or failed, or the epoch has ended.
    capacity_changed: Arc<Notify>,
}

impl UpstreamConnections {
    fn new(epoch: u64) -> Self {
        Self {
            epoch,
            connections: Vec::new(),
            is_connecting: false,
            failures: 0,
            last_failure: Outcome::ConnectFailed,
            capacity_changed: Arc::default(),
        }
    }
}

/// What an attempt waits for when no stream is available.
struct LeaseWait {
    capacity_changed: OwnedNotified,
    /// The upstream's failure count when the wait began.
    failures: u64,
}

/// The result of asking for a stream.
enum LeaseAttempt {
    Leased(StreamLease),
    Wait(LeaseWait),
    /// The process was replaced, or must not receive new requests.
    Retired,
}

impl Pool {
    pub fn new(limits: Http2Limits) -> Self {
        Self {
            limits,
            upstreams: Mutex::default(),
            next_epoch: AtomicU64::new(0),
            counts: Arc::default(),
        }
    }

    /// The present epoch of an upstream. An attempt that begins now belongs to this epoch.
    pub fn epoch(&self, server: ServerId) -> u64 {
        let mut upstreams = lock(&self.upstreams);
        let new = || UpstreamConnections::new(self.next_epoch.fetch_add(1, Ordering::Relaxed));
        upstreams.entry(server).or_insert_with(new).epoch
    }

    /// Waits for a stream on a connection to a process of an upstream. Has no timeout; the caller must limit the wait.
    /// The error is the outcome of the attempt.
    pub async fn lease(self: &Arc<Self>, peer: &Peer, epoch: u64) -> Result<StreamLease, Outcome> {
        loop {
            match self.try_lease(peer, epoch) {
                LeaseAttempt::Leased(lease) => return Ok(lease),
                LeaseAttempt::Retired => return Err(Outcome::Moot),
                LeaseAttempt::Wait(wait) => {
                    wait.capacity_changed.await;
                    if let Some(outcome) = self.failure_since(peer.server, epoch, wait.failures) {
                        return Err(outcome);
                    }
                }
            }
        }
    }

    /// Leases a stream, or returns what to wait for. Starts to open a connection if no open one has capacity.
    /// Connections to an upstream are opened one at a time, so that many simultaneous attempts do not open one
    /// connection each.
    fn try_lease(self: &Arc<Self>, peer: &Peer, epoch: u64) -> LeaseAttempt {
        let mut upstreams = lock(&self.upstreams);
        let upstream = upstreams
            .get_mut(&peer.server)
            .filter(|upstream| upstream.epoch == epoch);
        let Some(upstream) = upstream else {
            return LeaseAttempt::Retired;
        };
        upstream
            .connections
            .retain(|connection| !connection.is_closing());
        // Prefers the connection with the most streams, so that the others can become idle and close.
        let with_capacity = upstream
            .connections
            .iter()
            .filter(|connection| connection.has_capacity(self.limits.max_streams));
        if let Some(connection) = with_capacity.max_by_key(|connection| connection.streams()) {
            let lease = StreamLease::new(connection.clone(), upstream.capacity_changed.clone());
            return LeaseAttempt::Leased(lease);
        }
        let wait = LeaseWait {
            capacity_changed: upstream.capacity_changed.clone().notified_owned(),
            failures: upstream.failures,
        };
        let may_open = upstream.connections.len() < self.limits.max_connections;
        if !upstream.is_connecting && may_open {
            upstream.is_connecting = true;
            // Runs in its own task because other attempts wait for the connection too, and the caller of this attempt
            // may disconnect.
            tokio::spawn(self.clone().connect(*peer, epoch));
        }
        LeaseAttempt::Wait(wait)
    }

    /// The outcome of the last failed connection, if a connection has failed since the failure count was `failures`.
    fn failure_since(&self, server: ServerId, epoch: u64, failures: u64) -> Option<Outcome> {
        let upstreams = lock(&self.upstreams);
        let upstream = upstreams
            .get(&server)
            .filter(|upstream| upstream.epoch == epoch)?;
        (upstream.failures != failures).then_some(upstream.last_failure)
    }

    async fn connect(self: Arc<Self>, peer: Peer, epoch: u64) {
        let opening = Http2Connection::open(peer.address, self.counts.clone());
        let opened = match timeout(self.limits.connect_timeout, opening).await {
            Ok(Ok(connection)) => Ok(connection),
            // A lack of local descriptors or ports does not indicate a failure of the upstream.
            Ok(Err(error)) if is_local_resource_error(&error) => Err(Outcome::Moot),
            Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
        };
        let mut upstreams = lock(&self.upstreams);
        let upstream = upstreams
            .get_mut(&peer.server)
            .filter(|upstream| upstream.epoch == epoch);
        let Some(upstream) = upstream else { return };
        upstream.is_connecting = false;
        match opened {
            Ok(connection) => upstream.connections.push(connection),
            Err(outcome) => {
                upstream.failures += 1;
                upstream.last_failure = outcome;
            }
        }
        upstream.capacity_changed.notify_waiters();
    }

    /// Closes the connections to an upstream on which no stream is open.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(upstream) = lock(&self.upstreams).get_mut(&server) {
            upstream
                .connections
                .retain(|connection| connection.streams() > 0);
        }
    }

    /// Ends the present epoch of an upstream: no new stream is opened on its connections, which close after their last
    /// stream.
    pub fn retire(&self, server: ServerId) {
        if let Some(upstream) = lock(&self.upstreams).remove(&server) {
            // Wakes the attempts that wait for a stream, which then find the epoch ended.
            upstream.capacity_changed.notify_waiters();
        }
    }

    /// Removes the connections that have exceeded the idle timeout or accept no new streams.
    pub fn sweep(&self) {
        let idle_timeout = self.limits.idle_timeout;
        for upstream in lock(&self.upstreams).values_mut() {
            upstream.connections.retain(|connection| {
                let is_idle = connection.is_idle_for(idle_timeout);
                !(connection.is_closing() || is_idle)
            });
        }
    }
}
