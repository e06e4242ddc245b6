//! State shared by the member's thread and the handles of the process.

use crate::endpoint::Endpoint;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use woadstall_membership::Timestamp;

/// Time in nanoseconds without a heartbeat of the thread that serves requests after which the
/// process counts as hung. Other members must not find a hung process healthy.
const HEARTBEAT_TIMEOUT_NS: u64 = 1_000_000_000;

/// The kind of a requested shutdown.
#[derive(Clone, Copy, PartialEq)]
pub enum Shutdown {
    /// The member announces its leave.
    Graceful,
    /// The member stops without announcing its leave.
    Immediate,
}

/// State shared by the member's thread and the handles of the process.
pub struct Shared {
    endpoint: Mutex<Endpoint>,
    started_at: Instant,
    /// Wakes the member's thread.
    notify: Notify,
    /// Time of the most recent heartbeat of the thread that serves requests; 0 before the first
    /// heartbeat.
    last_heartbeat: AtomicU64,
    shutdown: watch::Sender<Option<Shutdown>>,
    has_ended: watch::Sender<bool>,
    is_bound: AtomicBool,
}

impl Shared {
    /// Creates the shared state. The member's clock starts now.
    pub fn new(endpoint: Endpoint, is_bound: bool) -> Self {
        Self {
            endpoint: Mutex::new(endpoint),
            started_at: Instant::now(),
            notify: Notify::new(),
            last_heartbeat: AtomicU64::new(0),
            shutdown: watch::Sender::new(None),
            has_ended: watch::Sender::new(false),
            is_bound: AtomicBool::new(is_bound),
        }
    }

    /// Locks the endpoint.
    pub fn endpoint(&self) -> MutexGuard<'_, Endpoint> {
        self.endpoint.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current time by the member's clock.
    pub fn now(&self) -> Timestamp {
        self.started_at.elapsed().as_nanos() as u64
    }

    /// Passes a received frame to the endpoint. While the process is hung, frames are dropped as if
    /// the process were dead.
    pub fn receive(&self, frame: &[u8]) -> MutexGuard<'_, Endpoint> {
        let (now, mut endpoint) = (self.now(), self.endpoint());
        if !self.is_hung(now) {
            endpoint.receive(now, frame);
        }
        endpoint
    }

    /// Time to wait until received messages may be processed, or `None` if they may be processed
    /// now.
    pub fn receive_wait(&self) -> Option<Duration> {
        let now = self.now();
        self.endpoint().receive_budget.wait(now)
    }

    /// Reports that a host refused a connection to the given address.
    pub fn report_connection_refused(&self, address: SocketAddr) {
        let now = self.now();
        self.endpoint().node.report_connection_refused(now, address);
        self.notify_driver();
    }

    /// Notifies the member's thread that messages may be waiting to be sent.
    pub fn notify_driver(&self) {
        self.notify.notify_one();
    }

    /// Waits for the next notification.
    pub async fn notified(&self) {
        self.notify.notified().await;
    }

    /// Records progress of the thread that serves requests.
    pub fn heartbeat(&self) {
        self.last_heartbeat
            .store(self.now().max(1), Ordering::Relaxed);
    }

    /// Whether the thread that serves requests has stopped sending heartbeats.
    pub fn is_hung(&self, now: Timestamp) -> bool {
        let last_heartbeat = self.last_heartbeat.load(Ordering::Relaxed);
        last_heartbeat != 0 && now.saturating_sub(last_heartbeat) > HEARTBEAT_TIMEOUT_NS
    }

    /// Whether the member has bound its address.
    pub fn is_bound(&self) -> bool {
        self.is_bound.load(Ordering::Relaxed)
    }

    /// Records that the member has bound its address.
    pub fn set_bound(&self) {
        self.is_bound.store(true, Ordering::Relaxed);
    }

    /// Requests a shutdown, overriding any earlier request.
    pub fn shut_down(&self, shutdown: Shutdown) {
        self.shutdown.send_replace(Some(shutdown));
    }

    /// Requests a shutdown unless one was requested before.
    pub fn shut_down_if_running(&self, shutdown: Shutdown) {
        self.shutdown.send_if_modified(|requested| {
            let is_running = requested.is_none();
            if is_running {
                *requested = Some(shutdown);
            }
            is_running
        });
    }

    /// Subscribes to shutdown requests.
    pub fn shutdown_requests(&self) -> watch::Receiver<Option<Shutdown>> {
        self.shutdown.subscribe()
    }

    /// Records that the thread has ended.
    pub fn set_ended(&self) {
        self.has_ended.send_replace(true);
    }

    /// Waits until the thread has ended.
    pub async fn ended(&self) {
        let mut has_ended = self.has_ended.subscribe();
        has_ended.wait_for(|ended| *ended).await.ok();
    }
}
