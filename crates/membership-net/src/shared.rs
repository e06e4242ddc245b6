//! What the member's thread and the handles of the process share.

use crate::endpoint::Endpoint;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use woadstall_membership::Timestamp;

/// Where the thread that serves requests has sent no heartbeat for this long, in nanoseconds, it
/// hangs, and nobody is to find this member healthy.
const HEARTBEAT_TIMEOUT: u64 = 1_000_000_000;

/// How the member's thread is told to stop.
#[derive(Clone, Copy, PartialEq)]
pub enum Shutdown {
    /// The member announces that it leaves.
    Graceful,
    /// The member stops without a message.
    Immediate,
}

/// What the member's thread and the handles of the process share.
pub struct Shared {
    endpoint: Mutex<Endpoint>,
    started_at: Instant,
    notify: Notify,
    /// When the thread that serves requests sent its last heartbeat; 0 where it sends none.
    last_heartbeat: AtomicU64,
    shutdown: watch::Sender<Option<Shutdown>>,
    has_ended: watch::Sender<bool>,
    is_bound: AtomicBool,
}

impl Shared {
    /// A member whose clock starts now.
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

    /// The endpoint, locked.
    pub fn endpoint(&self) -> MutexGuard<'_, Endpoint> {
        self.endpoint.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time by the member's clock.
    pub fn now(&self) -> Timestamp {
        self.started_at.elapsed().as_nanos() as u64
    }

    /// A frame has come. While the process hangs it is dropped, as if the process were gone.
    pub fn receive(&self, frame: &[u8]) -> MutexGuard<'_, Endpoint> {
        let (now, mut endpoint) = (self.now(), self.endpoint());
        if !self.is_hung(now) {
            endpoint.receive(now, frame);
        }
        endpoint
    }

    /// How long to wait before anything that was received is looked at.
    pub fn receive_wait(&self) -> Option<Duration> {
        let now = self.now();
        self.endpoint().receive_budget.wait(now)
    }

    /// A host has refused a connection to an address of its own.
    pub fn report_connection_refused(&self, address: SocketAddr) {
        let now = self.now();
        self.endpoint().node.report_connection_refused(now, address);
        self.notify_driver();
    }

    /// Notifies the member's thread that there may be something to send.
    pub fn notify_driver(&self) {
        self.notify.notify_one();
    }

    /// Completes when the thread is notified.
    pub async fn notified(&self) {
        self.notify.notified().await;
    }

    /// The thread that serves requests makes progress.
    pub fn heartbeat(&self) {
        self.last_heartbeat
            .store(self.now().max(1), Ordering::Relaxed);
    }

    /// Whether the thread that serves requests has stopped sending heartbeats.
    pub fn is_hung(&self, now: Timestamp) -> bool {
        let last_heartbeat = self.last_heartbeat.load(Ordering::Relaxed);
        last_heartbeat != 0 && now.saturating_sub(last_heartbeat) > HEARTBEAT_TIMEOUT
    }

    /// Whether the member has its address.
    pub fn is_bound(&self) -> bool {
        self.is_bound.load(Ordering::Relaxed)
    }

    /// The member has its address now.
    pub fn set_bound(&self) {
        self.is_bound.store(true, Ordering::Relaxed);
    }

    /// Tells the thread to stop.
    pub fn shut_down(&self, shutdown: Shutdown) {
        self.shutdown.send_replace(Some(shutdown));
    }

    /// Tells the thread to stop, unless it was told how already.
    pub fn shut_down_if_running(&self, shutdown: Shutdown) {
        self.shutdown.send_if_modified(|requested| {
            let is_running = requested.is_none();
            if is_running {
                *requested = Some(shutdown);
            }
            is_running
        });
    }

    /// How the thread is told to stop, and when.
    pub fn shutdown_requests(&self) -> watch::Receiver<Option<Shutdown>> {
        self.shutdown.subscribe()
    }

    /// The thread has ended.
    pub fn set_ended(&self) {
        self.has_ended.send_replace(true);
    }

    /// Completes when the thread has ended.
    pub async fn ended(&self) {
        let mut has_ended = self.has_ended.subscribe();
        has_ended.wait_for(|ended| *ended).await.ok();
    }
}
