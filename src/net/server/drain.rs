//! Connections that are ended by the server: all of them while it is out of service, and unresponsive ones.

use super::Server;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};
use woadstall_inbound::lock;

/// When responses begin to end their connections, after clients are sent away. The front in front of this process learns
/// of it within a fifth of a second, and would open those anew that are closed sooner.
const DRAIN_AFTER: Duration = Duration::from_millis(400);
/// When connections between requests are closed, after clients are sent away.
const CLOSE_AFTER: Duration = Duration::from_millis(1500);
/// How often these times are looked at.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a caller may take over a request, the first one from its connecting on.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How often that is looked at. Together they stay under the 3 s after which a caller that sends nothing complete is owed
/// an end.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl Server {
    /// While clients are sent away: ends their connections, with a response where one is owed.
    pub(super) async fn drain_while_out_of_service(self: Arc<Self>) {
        let mut out_of_service = self.out_of_service.clone();
        while out_of_service.wait_for(|is_out| *is_out).await.is_ok() {
            let since = Instant::now();
            while *out_of_service.borrow() {
                let elapsed = since.elapsed();
                self.is_draining
                    .store(elapsed >= DRAIN_AFTER, Ordering::Relaxed);
                if elapsed >= CLOSE_AFTER {
                    self.close_all();
                }
                timeout(DRAIN_CHECK_INTERVAL, out_of_service.changed())
                    .await
                    .ok();
            }
            self.is_draining.store(false, Ordering::Relaxed);
        }
    }

    /// Has all connections closed between requests.
    fn close_all(&self) {
        for connection in lock(&self.connections).values() {
            if !connection.is_draining.swap(true, Ordering::Relaxed) {
                connection.close.notify_one();
            }
        }
    }

    /// Aborts the connections that take too long over a request. Guards the capacity for the others.
    pub(super) async fn abort_overdue(self: Arc<Self>) {
        loop {
            sleep(TIMEOUT_CHECK_INTERVAL).await;
            for connection in lock(&self.connections).values() {
                if lock(&connection.state).is_overdue(REQUEST_TIMEOUT) {
                    connection.abort.notify_one();
                }
            }
        }
    }
}
