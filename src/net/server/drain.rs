//! Closes connections while the server is out of service, and aborts connections of unresponsive callers.

use super::Server;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};
use woadstall_inbound::lock;

/// Time from being taken out of service until responses carry `Connection: close`. A proxy in front of this process
/// learns of the change within 200 ms, and would reopen connections that are closed earlier.
const DRAIN_AFTER: Duration = Duration::from_millis(400);
/// Time from being taken out of service until connections are closed between requests.
const CLOSE_AFTER: Duration = Duration::from_millis(1500);
/// Interval at which the elapsed time out of service is checked.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for receiving a request. For the first request, the time starts when the connection is accepted.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval at which [`REQUEST_TIMEOUT`] is checked. The sum of both stays below 3 s, the time within which the
/// connection of a caller without a complete request must be closed.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl Server {
    /// Closes callers' connections while the server is out of service; open requests still get their responses.
    pub(super) async fn drain_while_out_of_service(self: Arc<Self>) {
        let mut out_of_service = self.out_of_service.clone();
        while out_of_service.wait_for(|is_out| *is_out).await.is_ok() {
            let out_of_service_since = Instant::now();
            while *out_of_service.borrow() {
                let elapsed = out_of_service_since.elapsed();
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

    /// Asks all connections to close between requests.
    fn close_all(&self) {
        for connection in lock(&self.connections).values() {
            if !connection.is_draining.swap(true, Ordering::Relaxed) {
                connection.close.notify_one();
            }
        }
    }

    /// Aborts connections whose requests or responses are overdue, which keeps capacity available for other callers.
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
