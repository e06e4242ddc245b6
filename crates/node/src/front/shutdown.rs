//! The phases of a graceful shutdown.

use std::future::Future;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// Time after SIGTERM for which idle connections stay open, so that a client does not send a
/// request on a connection that is being closed.
const IDLE_PERIOD: Duration = Duration::from_millis(1_200);
/// Time after SIGTERM for which connections are still accepted. Clients cache the directory's
/// response for some seconds, and a refused connection costs a client one of its attempts.
const ACCEPT_PERIOD: Duration = Duration::from_millis(3_000);
/// The process exits this long before the grace period ends, so that it is not killed first.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Maximum time for closing the remaining connections at the end of the grace period.
const ABORT_TIMEOUT: Duration = Duration::from_millis(100);

/// How far the shutdown has come. Each phase includes what the phases before it have begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShutdownPhase {
    /// SIGTERM has not been received.
    Serving,
    /// Responses ask clients to close their connections.
    Draining,
    /// Idle connections are closed.
    ClosingIdle,
    /// No connections are accepted, and requests are rejected: the rest of the grace period is for the
    /// requests that have been accepted.
    NotAccepting,
    /// All connections are closed.
    GracePeriodEnded,
}

/// The shutdown of a process, from SIGTERM to its exit.
pub(super) struct Shutdown {
    phase: watch::Sender<ShutdownPhase>,
    started: OnceLock<Instant>,
}

impl Shutdown {
    /// Creates the shutdown of a process that has not received SIGTERM.
    pub fn new() -> Self {
        Self {
            phase: watch::Sender::new(ShutdownPhase::Serving),
            started: OnceLock::new(),
        }
    }

    /// Returns whether the shutdown has come to `phase`.
    pub fn has_reached(&self, phase: ShutdownPhase) -> bool {
        *self.phase.borrow() >= phase
    }

    /// Returns a future that waits until the shutdown has come to `phase`.
    pub fn reached(&self, phase: ShutdownPhase) -> impl Future<Output = ()> + use<> {
        let mut phases = self.phase.subscribe();
        async move {
            phases.wait_for(|current| *current >= phase).await.ok();
        }
    }

    /// Returns the time since SIGTERM; `None` before SIGTERM.
    pub fn elapsed(&self) -> Option<Duration> {
        self.started.get().map(Instant::elapsed)
    }

    /// Records SIGTERM.
    pub fn start(&self) {
        self.started.get_or_init(Instant::now);
        self.phase.send_replace(ShutdownPhase::Draining);
    }

    /// Passes through the phases after the start until `clients` has served all accepted requests or
    /// the grace period ends.
    pub async fn run(&self, grace_period: Duration, mut clients: JoinHandle<()>) {
        let grace_period = grace_period.saturating_sub(GRACE_MARGIN);
        tokio::select! {
            _ = &mut clients => {
                log::info!("shutdown_complete");
                return;
            }
            () = self.advance(grace_period) => {}
        }
        let grace_period_ms = grace_period.as_millis();
        log::warn!("shutdown_timed_out grace_period_ms={grace_period_ms}");
        self.phase.send_replace(ShutdownPhase::GracePeriodEnded);
        timeout(ABORT_TIMEOUT, clients).await.ok();
    }

    async fn advance(&self, grace_period: Duration) {
        let started = *self.started.get_or_init(Instant::now);
        sleep_until(started + IDLE_PERIOD).await;
        self.phase.send_replace(ShutdownPhase::ClosingIdle);
        sleep_until(started + ACCEPT_PERIOD).await;
        self.phase.send_replace(ShutdownPhase::NotAccepting);
        sleep_until(started + grace_period).await;
    }
}
